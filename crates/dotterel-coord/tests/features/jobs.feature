Feature: Jobs run whole, once at a time, whatever fails

  Scenario: A batch runs to its end
    Given 2 workers of 2 slots
    And node a
    When a batch of 6 tasks of 3000 ms is submitted
    Then the job is finished within 30 s
    And every task ran once

  Scenario: The owner dies between record and start
    Given 2 workers of 4 slots
    And node a
    And the starts of node a are held up
    When a batch of 4 tasks of 3000 ms is submitted
    And 2000 ms pass
    And node a dies
    And node b starts
    Then the job is finished within 60 s
    And every task ran once

  Scenario: A start that arrives after the adoption is refused
    Given 2 workers of 4 slots
    And node a
    And the starts of node a are held up
    When a batch of 4 tasks of 20000 ms is submitted
    And 2000 ms pass
    And node a is cut off from the table
    And node b starts
    And 15000 ms pass
    And the starts of node a go on
    Then the job is finished within 90 s
    And every task ran once

  Scenario: A start under way for long never runs beside its successor
    Given 2 workers of 4 slots
    And node a
    And the starts of node a travel for 8000 ms
    When a batch of 2 tasks of 30000 ms is submitted
    And 4000 ms pass
    And node a dies
    And node b starts
    Then the job is finished within 90 s
    And every task ran once

  Scenario Outline: Nothing starts on a record that may be lost
    Given 2 workers of 2 slots
    And node a
    And no VM has room
    When a batch of 1 tasks of 60000 ms is submitted
    And <span> ms pass
    And the VMs have room
    And the table drops 500 transactions
    And 3000 ms pass
    And node a dies
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

  Scenario Outline: A superseded owner writes nothing
    Given 4 workers of 2 slots
    And node a
    When a batch of 4 tasks of 30000 ms is submitted
    And 3000 ms pass
    And node a is cut off from the table
    And node b starts
    And 10000 ms pass
    And worker 1 restarts
    And worker 2 restarts
    And <span> ms pass
    And node a is back at the table
    Then the job is finished within 90 s

    Examples: Before and after the returning node looks at the leases
      | span |
      | 2700 |
      | 3000 |
      | 3300 |
      | 3600 |
      | 3900 |
      | 4200 |
      | 4500 |

  Scenario: A new owner goes on with what runs
    Given 2 workers of 2 slots
    And node a
    When a batch of 4 tasks of 30000 ms is submitted
    And 5000 ms pass
    And node a dies
    And node b starts
    Then the job is finished within 60 s
    And every task ran once

  Scenario: An outage of the table adopts nothing and cuts nothing
    Given 2 workers of 2 slots
    And node a
    When a batch of 4 tasks of 40000 ms is submitted
    And 5000 ms pass
    And node b starts
    And the table is down for 60000 ms
    And node a dies
    And 45000 ms pass
    Then every task ran once
    And the job is finished within 60 s
    And every task ran once

  Scenario: A task on a silent worker waits for its lease to lapse
    Given 2 workers of 1 slots
    And node a
    When a batch of 1 tasks of 60000 ms is submitted
    And 3000 ms pass
    And the worker of the job goes silent
    And 9000 ms pass
    Then the job has 1 run
    And the job is finished within 120 s
    And the first run was cut because it lapsed

  Scenario: A gang starts whole or not at all
    Given 2 workers of 2 slots
    And node a
    When a batch of 1 tasks of 10000 ms is submitted
    And 2000 ms pass
    And a gang of 4 tasks of 3000 ms is submitted
    And 4000 ms pass
    Then the job has 0 runs
    And the job is finished within 60 s
    And all its runs started together

  Scenario: A gang that loses a task starts again as a whole
    Given 4 workers of 1 slots
    And node a
    When a gang of 4 tasks of 8000 ms is submitted
    And 4000 ms pass
    And worker 1 restarts
    Then the job is finished within 60 s
    And the job has 8 runs

  Scenario: A job that can never run stands in nobody's way
    Given 1 workers of 2 slots
    And node a
    When a batch of 1 tasks of 1000 ms and 3 slots is submitted
    And 2000 ms pass
    Then the job is parked
    When a batch of 2 tasks of 1000 ms is submitted
    Then the job is finished within 20 s

  Scenario: A service keeps its count, spread over workers
    Given 4 workers of 2 slots
    And node a
    When a service of 4 tasks is submitted
    And 4000 ms pass
    Then 4 tasks run on 4 workers
    When worker 2 restarts
    And 6000 ms pass
    Then 4 tasks run on 4 workers

  Scenario: A wave of cancellations may come twice
    Given 4 workers of 4 slots
    And node a
    And node b
    When 30 services of 1 task are submitted
    And 5000 ms pass
    And all jobs are cancelled while the table loses 2 answers
    And all jobs are cancelled while the table loses 0 answers
    Then all jobs are cancelled within 20 s
    And nothing runs

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

  Scenario: A planned stop hands the jobs over
    Given 2 workers of 2 slots
    And node a
    When a batch of 4 tasks of 20000 ms is submitted
    And 4000 ms pass
    And node b starts
    And node a stops
    Then the job is finished within 30 s
    And every task ran once

  Scenario: A submission whose answer is lost is accepted once
    Given 2 workers of 2 slots
    And node a
    When the table loses 1 answers
    And a batch of 2 tasks of 2000 ms is submitted
    Then the job is finished within 20 s
    And every task ran once

  Scenario: Urgent jobs get room before others that wait
    Given 1 workers of 1 slots
    And node a
    And no VM has room
    When 5 overnight batches and then an urgent one are submitted
    And 2500 ms pass
    And the VMs have room
    Then the job is finished within 10 s
    And the job ran first

  Scenario: A job that is over can be read for its retention
    Given 1 workers of 1 slots
    And node a
    When a batch of 1 tasks of 1000 ms is submitted
    Then the job is finished within 10 s
    When 3500000 ms pass
    Then the job is finished within 1 s
    When 200000 ms pass
    Then nothing is left of the job in the table
