Feature: An unrepeatable request runs at most once
  What was dispatched to workers is the judge, not what the nodes believe.

  Scenario: The answer is lost after the write took effect
    Given nodes that each write the table
    And calls to the table take 100 ms and answers 100 ms
    When order "1" is sent to node "a"
    And 250 ms pass
    And the next 1 answers of the table are lost
    Then caller 1 is told "ran"
    And order "1" ran 1 times

  Scenario: A caller retries at another node while the first request runs
    Given nodes that each write the table
    When order "1" is sent to node "a"
    And 50 ms pass
    And order "1" is sent to node "b"
    Then caller 2 is told "unknown"
    And caller 1 is told "ran"
    And order "1" ran 1 times

  Scenario: A caller retries at another node after the first request ran
    Given nodes that each write the table
    When order "1" is sent to node "a"
    And 1000 ms pass
    And order "1" is sent to node "b"
    Then caller 2 is told "already ran"
    And order "1" ran 1 times

  Scenario: A retry in another data centre while the first one is cut from the platform
    Given nodes that each write the table
    When order "1" is sent to node "a"
    And 50 ms pass
    And node "a" is cut from the table
    And 500 ms pass
    And order "1" is sent to node "b"
    Then caller 2 is told "unknown"
    And order "1" ran 1 times
    When all faults end
    And 1000 ms pass
    And order "1" is sent to node "b"
    Then caller 3 is told "already ran"
    And order "1" ran 1 times

  Scenario: A node without the table claims through its peer
    Given nodes that forward to each other
    And node "b" is cut from the table
    And node "c" is cut from the table
    When order "1" is sent to node "b"
    And order "2" is sent to node "c"
    And order "3" is sent to node "b"
    And order "4" is sent to node "c"
    Then at least 1 order ran
    And no order ran 2 times

  Scenario: The node that usually writes the shard is dead
    Given nodes that forward to each other
    And node "a" dies
    And node "b" dies
    When order "1" is sent to node "c"
    Then caller 1 is told "ran"
    And order "1" ran 1 times

  Scenario: Two nodes cache the same shard
    Given nodes that each write the table
    When order "1" is sent to node "a"
    And order "2" is sent to node "b"
    And 1000 ms pass
    And order "3" is sent to node "a"
    And order "3" is sent to node "b"
    And order "3" is sent to node "c"
    And 1000 ms pass
    Then order "3" ran 1 times

  Scenario: A request that got no claim in an outage was not run and runs later
    Given nodes that each write the table
    And the table is down for 3000 ms
    When order "1" is sent to node "a"
    Then caller 1 is told "not run"
    And order "1" ran 0 times
    When 3000 ms pass
    And order "1" is sent to node "b"
    Then caller 2 is told "ran"
    And order "1" ran 1 times

  Scenario: A claim given up after its write left does not block the key
    Given nodes that each write the table
    And calls to the table take 1400 ms and answers 200 ms
    When order "1" is sent to node "a"
    Then caller 1 is told "not run"
    When all faults end
    And 3000 ms pass
    And order "1" is sent to node "b"
    Then caller 2 is told "ran"
    And order "1" ran 1 times

  Scenario: A request proven not to have run may run again
    Given nodes that each write the table
    When order "1" is refused by the worker of node "a"
    Then caller 1 is told "not run"
    When order "1" is sent to node "b"
    Then caller 2 is told "ran"
    And order "1" ran 1 times

  Scenario Outline: The claimant dies <step>
    Given nodes that each write the table
    And calls to the table take 100 ms and answers 100 ms
    When order "1" is sent to node "a"
    And <at> ms pass
    And node "a" dies
    And 1000 ms pass
    And all faults end
    And order "1" is sent to node "b"
    Then caller 2 is told "<told>"
    And order "1" ran <runs> times

    Examples:
      | step                         | at  | told        | runs |
      | before it wrote the claim    | 50  | ran         | 1    |
      | while the claim is under way | 250 | unknown     | 0    |
      | before it knew of its claim  | 350 | unknown     | 0    |
      | after the dispatch           | 450 | unknown     | 1    |
      | while it records the outcome | 600 | already ran | 1    |
      | after it recorded all        | 900 | already ran | 1    |
