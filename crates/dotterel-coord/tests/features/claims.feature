Feature: An unrepeatable request runs at most once
  The scenarios check what was dispatched to workers, not what the nodes report.

  Scenario: The response is lost after the write took effect
    Given nodes that each write to the table
    And requests to the table take 100 ms and responses 100 ms
    When order "1" is sent to node "a"
    And 250 ms pass
    And the next 1 responses of the table are lost
    Then caller 1 receives "ran"
    And order "1" ran 1 times

  Scenario: A caller retries at another node while the first request runs
    Given nodes that each write to the table
    When order "1" is sent to node "a"
    And 50 ms pass
    And order "1" is sent to node "b"
    Then caller 2 receives "unknown"
    And caller 1 receives "ran"
    And order "1" ran 1 times

  Scenario: A caller retries at another node after the first request ran
    Given nodes that each write to the table
    When order "1" is sent to node "a"
    And 1000 ms pass
    And order "1" is sent to node "b"
    Then caller 2 receives "already ran"
    And order "1" ran 1 times

  Scenario: A retry in another data centre while the first one is disconnected from the platform
    Given nodes that each write to the table
    When order "1" is sent to node "a"
    And 50 ms pass
    And node "a" is disconnected from the table
    And 500 ms pass
    And order "1" is sent to node "b"
    Then caller 2 receives "unknown"
    And order "1" ran 1 times
    When all faults end
    And 1000 ms pass
    And order "1" is sent to node "b"
    Then caller 3 receives "already ran"
    And order "1" ran 1 times

  Scenario: A node that cannot reach the table claims through a peer
    Given nodes that forward to each other
    And node "b" is disconnected from the table
    And node "c" is disconnected from the table
    When order "1" is sent to node "b"
    And order "2" is sent to node "c"
    And order "3" is sent to node "b"
    And order "4" is sent to node "c"
    Then at least 1 order ran
    And no order ran 2 times

  Scenario: The node that usually writes the shard has crashed
    Given nodes that forward to each other
    And node "a" crashes
    And node "b" crashes
    When order "1" is sent to node "c"
    Then caller 1 receives "ran"
    And order "1" ran 1 times

  Scenario: Two nodes cache the same shard
    Given nodes that each write to the table
    When order "1" is sent to node "a"
    And order "2" is sent to node "b"
    And 1000 ms pass
    And order "3" is sent to node "a"
    And order "3" is sent to node "b"
    And order "3" is sent to node "c"
    And 1000 ms pass
    Then order "3" ran 1 times

  Scenario: A request whose claim fails in an outage does not run, and a retry runs later
    Given nodes that each write to the table
    And the table is down for 3000 ms
    When order "1" is sent to node "a"
    Then caller 1 receives "not run"
    And order "1" ran 0 times
    When 3000 ms pass
    And order "1" is sent to node "b"
    Then caller 2 receives "ran"
    And order "1" ran 1 times

  Scenario: A claim that times out after its write was sent does not block the key
    Given nodes that each write to the table
    And requests to the table take 1400 ms and responses 200 ms
    When order "1" is sent to node "a"
    Then caller 1 receives "not run"
    When all faults end
    And 3000 ms pass
    And order "1" is sent to node "b"
    Then caller 2 receives "ran"
    And order "1" ran 1 times

  Scenario: A request proven not to have run may run again
    Given nodes that each write to the table
    When order "1" is refused by the worker of node "a"
    Then caller 1 receives "not run"
    When order "1" is sent to node "b"
    Then caller 2 receives "ran"
    And order "1" ran 1 times

  Scenario Outline: The claiming node crashes <step>
    Given nodes that each write to the table
    And requests to the table take 100 ms and responses 100 ms
    When order "1" is sent to node "a"
    And <at> ms pass
    And node "a" crashes
    And 1000 ms pass
    And all faults end
    And order "1" is sent to node "b"
    Then caller 2 receives "<response>"
    And order "1" ran <runs> times

    Examples:
      | step                                | at  | response    | runs |
      | before it wrote the claim           | 50  | ran         | 1    |
      | while the claim is in flight        | 250 | unknown     | 0    |
      | before the response to its claim    | 350 | unknown     | 0    |
      | after the dispatch                  | 450 | unknown     | 1    |
      | while it records the outcome        | 600 | already ran | 1    |
      | after it recorded the outcome       | 900 | already ran | 1    |
