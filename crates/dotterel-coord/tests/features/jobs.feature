Feature: Jobs complete under failures, and no task runs in two places at once

  Scenario: A batch completes
    Given 2 workers of 2 slots
    And node a
    When a batch of 6 tasks of 3000 ms is submitted
    Then the job is finished within 30 s
    And every task ran once

  Scenario: The owner is killed between recording and starting a task
    Given 2 workers of 4 slots
    And node a
    And the starts of node a are blocked
    When a batch of 4 tasks of 3000 ms is submitted
    And 2000 ms pass
    And node a is killed
    And node b starts
    Then the job is finished within 60 s
    And every task ran once

  Scenario: A start that arrives after the takeover is refused
    Given 2 workers of 4 slots
    And node a
    And the starts of node a are blocked
    When a batch of 4 tasks of 20000 ms is submitted
    And 2000 ms pass
    And node a is disconnected from the table
    And node b starts
    And 15000 ms pass
    And the starts of node a are unblocked
    Then the job is finished within 90 s
    And every task ran once

  Scenario: A task whose start is delayed never runs alongside its replacement
    Given 2 workers of 4 slots
    And node a
    And the starts of node a are delayed by 8000 ms
    When a batch of 2 tasks of 30000 ms is submitted
    And 4000 ms pass
    And node a is killed
    And node b starts
    Then the job is finished within 90 s
    And every task ran once

  Scenario Outline: No task starts before its record is durable
    Given 2 workers of 2 slots
    And node a
    And no VM has free capacity
    When a batch of 1 tasks of 60000 ms is submitted
    And <span> ms pass
    And the VMs have free capacity
    And the table drops 500 transactions
    And 3000 ms pass
    And node a is killed
    And the table drops 0 transactions
    And node b starts
    Then the job is finished within 150 s
    And every task ran once

    Examples: The first dropped transaction is the record or a renewal
      | span |
      | 2000 |
      | 2300 |
      | 2600 |
      | 2900 |
      | 3200 |
      | 3500 |

  Scenario Outline: A superseded owner writes no rows
    Given 4 workers of 2 slots
    And node a
    When a batch of 4 tasks of 30000 ms is submitted
    And 3000 ms pass
    And node a is disconnected from the table
    And node b starts
    And 10000 ms pass
    And worker 1 restarts
    And worker 2 restarts
    And <span> ms pass
    And node a is reconnected to the table
    Then the job is finished within 90 s

    Examples: Before and after the reconnected node reads the leases
      | span |
      | 2700 |
      | 3000 |
      | 3300 |
      | 3600 |
      | 3900 |
      | 4200 |
      | 4500 |

  Scenario: A new owner takes over running tasks
    Given 2 workers of 2 slots
    And node a
    When a batch of 4 tasks of 30000 ms is submitted
    And 5000 ms pass
    And node a is killed
    And node b starts
    Then the job is finished within 60 s
    And every task ran once

  Scenario: An outage of the table causes no takeover and cuts no task
    Given 2 workers of 2 slots
    And node a
    When a batch of 4 tasks of 40000 ms is submitted
    And 5000 ms pass
    And node b starts
    And the table is down for 60000 ms
    And node a is killed
    And 45000 ms pass
    Then every task ran once
    And the job is finished within 60 s
    And every task ran once

  Scenario: A task on an unresponsive worker is rerun only after its lease expires
    Given 2 workers of 1 slots
    And node a
    When a batch of 1 tasks of 60000 ms is submitted
    And 3000 ms pass
    And the worker of the job stops responding
    And 9000 ms pass
    Then the job has 1 run
    And the job is finished within 120 s
    And the first run was cut because its lease expired

  Scenario: A gang starts all of its tasks or none
    Given 2 workers of 2 slots
    And node a
    When a batch of 1 tasks of 10000 ms is submitted
    And 2000 ms pass
    And a gang of 4 tasks of 3000 ms is submitted
    And 4000 ms pass
    Then the job has 0 runs
    And the job is finished within 60 s
    And all its runs started together

  Scenario: A gang that loses a task restarts all of its tasks
    Given 4 workers of 1 slots
    And node a
    When a gang of 4 tasks of 8000 ms is submitted
    And 4000 ms pass
    And worker 1 restarts
    Then the job is finished within 60 s
    And the job has 8 runs

  Scenario: A job that can never run does not block other jobs
    Given 1 workers of 2 slots
    And node a
    When a batch of 1 tasks of 1000 ms and 3 slots is submitted
    And 2000 ms pass
    Then the job is parked
    When a batch of 2 tasks of 1000 ms is submitted
    Then the job is finished within 20 s

  Scenario: A service keeps its number of tasks, spread over workers
    Given 4 workers of 2 slots
    And node a
    When a service of 4 tasks is submitted
    And 4000 ms pass
    Then 4 tasks run on 4 workers
    When worker 2 restarts
    And 6000 ms pass
    Then 4 tasks run on 4 workers

  Scenario: A repeated bulk cancellation is idempotent
    Given 4 workers of 4 slots
    And node a
    And node b
    When 30 services of 1 task are submitted
    And 5000 ms pass
    And all jobs are cancelled while the table loses 2 responses
    And all jobs are cancelled while the table loses 0 responses
    Then all jobs are cancelled within 20 s
    And no task runs

  Scenario: A checkpointed task resumes
    Given 1 workers of 1 slots
    And node a
    When a batch of 1 tasks of 20000 ms is submitted
    And 10000 ms pass
    And task 0 of the job is checkpointed
    Then the job is finished within 20 s
    And the job has 2 runs

  Scenario: An unrepeatable task that was cut is not run again
    Given 2 workers of 1 slots
    And node a
    When an unrepeatable batch of 1 tasks of 20000 ms is submitted
    And 5000 ms pass
    And worker 1 restarts
    Then the job is failed within 20 s
    And the job has 1 run

  Scenario: A planned stop hands over the jobs
    Given 2 workers of 2 slots
    And node a
    When a batch of 4 tasks of 20000 ms is submitted
    And 4000 ms pass
    And node b starts
    And node a stops
    Then the job is finished within 30 s
    And every task ran once

  Scenario: A submission whose response is lost is accepted once
    Given 2 workers of 2 slots
    And node a
    When the table loses 1 responses
    And a batch of 2 tasks of 2000 ms is submitted
    Then the job is finished within 20 s
    And every task ran once

  Scenario: Urgent jobs get capacity before other waiting jobs
    Given 1 workers of 1 slots
    And node a
    And no VM has free capacity
    When 5 overnight batches and then an urgent one are submitted
    And 2500 ms pass
    And the VMs have free capacity
    Then the job is finished within 10 s
    And the job ran first

  Scenario: A finished job stays readable for its retention time
    Given 1 workers of 1 slots
    And node a
    When a batch of 1 tasks of 1000 ms is submitted
    Then the job is finished within 10 s
    When 3500000 ms pass
    Then the job is finished within 1 s
    When 200000 ms pass
    Then the table holds no rows of the job
