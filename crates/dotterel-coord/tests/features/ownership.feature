Feature: A VM has one owner at a time

  The worker is declared with 2 slots. The stand-in accepts more, so only the
  nodes prevent overload.

  Background:
    Given the nodes a, b and c
    And a owns the worker

  Scenario: The owner is killed
    When a runs 2 tasks of 8 s
    And a is killed
    And b requests the worker
    Then b owns the worker within 3500 ms
    When b runs 2 tasks of 1 s
    And 20 s pass
    Then the worker ran 2 tasks to their end
    And no invariant is violated

  Scenario: The owner is paused past its lease
    When a runs 1 tasks of 8 s
    And a is paused
    And b requests the worker
    And 5 s pass
    Then b owns the worker within 0 ms
    When a resumes
    And a tries to run a task every 20 ms for 2 s
    Then no start carried a stale epoch
    And no invariant is violated

  Scenario: Two successors request the lease at the same time
    When a runs 2 tasks of 8 s
    And a is killed
    And b requests the worker
    And c requests the worker
    And 4 s pass
    And b tries to run a task every 50 ms for 10 s
    And c tries to run a task every 50 ms for 10 s
    Then no start carried a stale epoch
    And no invariant is violated

  Scenario: A start arrives after a new grant
    When calls are delayed by 4000 ms
    And a runs 1 tasks of 1 s
    And calls are no longer delayed
    And a is disconnected
    And b requests the worker
    And 20 s pass
    Then b owns the worker within 0 ms
    And the worker ran 0 tasks to their end
    And no invariant is violated

  Scenario: The response with a task's outcome is lost
    When a runs 1 tasks of 2 s
    And the next response after 1900 ms is lost
    And 5 s pass
    Then a reports that its last task ran
    And no invariant is violated

  Scenario: A connection stops responding for good while new ones work
    When the connections of a stop responding
    And a runs 1 tasks of 1 s
    And 1200 ms pass
    And new connections work
    And 3 s pass
    Then a reports that its last task ran
    And no invariant is violated

  Scenario: A start that is in flight for too long is barred
    When calls are delayed by 6000 ms
    And a runs 1 tasks of 1 s
    And calls are no longer delayed
    And 4 s pass
    Then a reports that its last task did not run
    When 20 s pass
    Then the worker ran 0 tasks to their end
    And no invariant is violated

  Scenario: A task on an unreachable worker has an unknown fate
    When a runs 1 tasks of 1 s
    And the connections of a stop responding
    And 30 s pass
    Then a reports that the fate of its last task is unknown
    And no invariant is violated

  Scenario: The platform's list marks the worker as leaving
    Given the list lags 1000 ms
    When the list marks the worker as leaving
    And a tries to run a task every 20 ms for 8 s
    Then no task started later than 3000 ms after the notice
    And some task started

  Scenario: A stale list does not withdraw the notice
    When the worker reports that it is leaving
    And 1100 ms pass
    And the worker no longer reports that it is leaving
    And a tries to run a task every 20 ms for 8 s
    Then no task started later than 0 ms after the notice

  Scenario: The worker itself reports that it is leaving while the list is unreachable
    Given the list is unreachable
    When the worker reports that it is leaving
    And 1100 ms pass
    And a tries to run a task every 20 ms for 2 s
    Then no task started later than 0 ms after the notice
    And no start reached a leaving worker

  Scenario: A planned stop hands over running tasks to a successor
    When a runs 2 tasks of 40 s
    And a hands over the worker to b
    Then b owns the worker within 500 ms
    When 60 s pass
    Then the worker ran 2 tasks to their end
    And a reports that its last task ran
    And no task was cut
    And no invariant is violated

  Scenario: Only the successor gets a lease that is handed over
    When c requests the worker
    And 1100 ms pass
    And a hands over the worker to b
    Then b owns the worker within 500 ms
    And no invariant is violated

  Scenario: The named successor is killed
    When a runs 2 tasks of 40 s
    And b is killed
    And a hands over the worker to b
    And c requests the worker
    Then c owns the worker within 3500 ms
    When 60 s pass
    Then the worker ran 2 tasks to their end
    And no task was cut
    And no invariant is violated

  Scenario: The last node of a data centre stops
    When a runs 2 tasks of 40 s
    And a drains the worker
    And 1 s pass
    And a runs 1 tasks of 1 s
    And 60 s pass
    Then the worker ran 2 tasks to their end
    And no task was cut
    And no invariant is violated
    When b requests the worker
    Then b owns the worker within 100 ms

  Scenario: A successor appears while the last node drains
    When a runs 2 tasks of 40 s
    And a drains the worker
    And 20 s pass
    And a hands over the worker to b
    Then b owns the worker within 500 ms
    When 60 s pass
    Then the worker ran 2 tasks to their end
    And no task was cut
    And no invariant is violated

  Scenario: The last two nodes stop together
    When a runs 2 tasks of 40 s
    And a hands over the worker to b
    And b drains the worker
    And 60 s pass
    Then the worker ran 2 tasks to their end
    And no task was cut
    And no invariant is violated
