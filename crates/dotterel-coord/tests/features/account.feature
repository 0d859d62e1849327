Feature: The account is accurate and reports the gaps in its data

  Scenario: A node crashes with open requests
    Given a node with a journal
    When 3 requests arrive
    And request 1 starts
    And request 2 starts
    And request 1 ends
    And 2000 ms pass
    And the node crashes
    Then its account reports 3 arrived, 1 ran, 2 unknown and 0 not run
    And request 1 is found as "ran"
    And request 3 is found as "unknown"

  Scenario: A node crashes before it ships its last requests
    Given a node with a journal
    When 2 requests arrive
    And 2000 ms pass
    And the store is down
    And 3 requests arrive
    And 2000 ms pass
    And the node crashes
    Then its account reports 2 arrived, 0 ran, 2 unknown and 0 not run
    And request 5 is found as "absent"
    And every request that is not found is within a gap

  Scenario: The store recovers after a long outage
    Given a node with a journal
    And the store is down
    When 5 requests arrive
    And request 1 starts
    And request 1 ends
    And request 2 ends
    And 60000 ms pass
    And all faults end
    And 3000 ms pass
    And the node crashes
    Then its account reports 5 arrived, 1 ran, 3 unknown and 1 not run

  Scenario: The response to the write of a segment is lost
    Given a node with a journal
    When the next 1 responses of the store are lost
    And 2 requests arrive
    And 1500 ms pass
    And request 1 starts
    And request 1 ends
    And 3000 ms pass
    And the node crashes
    Then its account reports 2 arrived, 1 ran, 1 unknown and 0 not run

  Scenario: The memory for closed requests overflows in an outage
    Given a node whose journal keeps at most 16 closed requests
    And the store is down
    When 60 requests arrive
    And all requests end
    And 5000 ms pass
    And all faults end
    And 3000 ms pass
    And the node crashes
    Then every request that is not found is within a gap
    And the gaps state the number of dropped requests
