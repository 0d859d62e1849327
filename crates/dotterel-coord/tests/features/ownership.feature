Feature: A VM has one owner at a time

  A worker with 2 slots is declared; the stand-in would run more, so that only
  the nodes keep it from being too full.

  Background:
    Given the nodes a, b and c
    And a owns the worker

  Scenario: The owner is killed
    When a runs 2 tasks of 8 s
    And a is killed
    And b wants the worker
    Then b owns the worker within 3500 ms
    When b runs 2 tasks of 1 s
    And 20 s pass
    Then the worker ran 2 tasks to their end
    And nothing is wrong

  Scenario: The owner is paused past its lease
    When a runs 1 tasks of 8 s
    And a is paused
    And b wants the worker
    And 5 s pass
    Then b owns the worker within 0 ms
    When a resumes
    And a tries to run a task every 20 ms for 2 s
    Then no start came under an old epoch
    And nothing is wrong

  Scenario: Two heirs ask at once
    When a runs 2 tasks of 8 s
    And a is killed
    And b wants the worker
    And c wants the worker
    And 4 s pass
    And b tries to run a task every 50 ms for 10 s
    And c tries to run a task every 50 ms for 10 s
    Then no start came under an old epoch
    And nothing is wrong

  Scenario: A start arrives after a new grant
    When calls take 4000 ms to arrive
    And a runs 1 tasks of 1 s
    And calls arrive at once
    And a is cut off
    And b wants the worker
    And 20 s pass
    Then b owns the worker within 0 ms
    And the worker ran 0 tasks to their end
    And nothing is wrong

  Scenario: The answer of a task is lost
    When a runs 1 tasks of 2 s
    And the next answer after 1900 ms is lost
    And 5 s pass
    Then a says that its last task ran
    And nothing is wrong

  Scenario: A connection goes silent for good while new ones work
    When the connections of a go silent
    And a runs 1 tasks of 1 s
    And 1200 ms pass
    And new connections work
    And 3 s pass
    Then a says that its last task ran
    And nothing is wrong

  Scenario: A start that is long under way is barred
    When calls take 6000 ms to arrive
    And a runs 1 tasks of 1 s
    And calls arrive at once
    And 4 s pass
    Then a says that its last task did not run
    When 20 s pass
    Then the worker ran 0 tasks to their end
    And nothing is wrong

  Scenario: A worker that cannot be reached leaves a fate unknown
    When a runs 1 tasks of 1 s
    And the connections of a go silent
    And 30 s pass
    Then a says that the fate of its last task is unknown
    And nothing is wrong

  Scenario: The platform's list says that the worker leaves
    Given the list lags 1000 ms
    When the list says that the worker leaves
    And a tries to run a task every 20 ms for 8 s
    Then no task started later than 3000 ms after the word
    And some task started

  Scenario: A stale list does not take the word back
    When the worker says that it leaves
    And 1100 ms pass
    And the worker no longer says that it leaves
    And a tries to run a task every 20 ms for 8 s
    Then no task started later than 0 ms after the word

  Scenario: The worker itself says that it leaves while the list is unreachable
    Given the list is unreachable
    When the worker says that it leaves
    And 1100 ms pass
    And a tries to run a task every 20 ms for 2 s
    Then no task started later than 0 ms after the word
    And no start came to a worker that leaves

  Scenario: A planned stop hands running tasks to an heir
    When a runs 2 tasks of 40 s
    And a hands the worker to b
    Then b owns the worker within 500 ms
    When 60 s pass
    Then the worker ran 2 tasks to their end
    And a says that its last task ran
    And no task was cut
    And nothing is wrong

  Scenario: Nobody but the heir gets a lease that is handed over
    When c wants the worker
    And 1100 ms pass
    And a hands the worker to b
    Then b owns the worker within 500 ms
    And nothing is wrong

  Scenario: The named heir dies
    When a runs 2 tasks of 40 s
    And b is killed
    And a hands the worker to b
    And c wants the worker
    Then c owns the worker within 3500 ms
    When 60 s pass
    Then the worker ran 2 tasks to their end
    And no task was cut
    And nothing is wrong

  Scenario: The last node of a data centre stops
    When a runs 2 tasks of 40 s
    And a gives the worker back to nobody
    And 1 s pass
    And a runs 1 tasks of 1 s
    And 60 s pass
    Then the worker ran 2 tasks to their end
    And no task was cut
    And nothing is wrong
    When b wants the worker
    Then b owns the worker within 100 ms

  Scenario: An heir comes while the last node drains
    When a runs 2 tasks of 40 s
    And a gives the worker back to nobody
    And 20 s pass
    And a hands the worker to b
    Then b owns the worker within 500 ms
    When 60 s pass
    Then the worker ran 2 tasks to their end
    And no task was cut
    And nothing is wrong

  Scenario: The last two nodes stop together
    When a runs 2 tasks of 40 s
    And a hands the worker to b
    And b gives the worker back to nobody
    And 60 s pass
    Then the worker ran 2 tasks to their end
    And no task was cut
    And nothing is wrong
