Feature: An accepted document becomes active on every node and never reverts
  Operators edit the document of one service at different nodes. Each edit is identified by its start
  limit.

  Background:
    Given nodes "a", "b" and "c"
    And edit 1000 was accepted at node "a" as revision 1

  Scenario: Two operators edit the same revision concurrently
    When edit 1100 of revision 1 is sent to node "a"
    And edit 1200 of revision 1 is sent to node "b"
    Then exactly one of the edits 1100 and 1200 is accepted as revision 2
    And the other one receives the current text
    And within 3000 ms every node has revision 2

  Scenario: The response to the write is lost
    Given requests to the table take 100 ms
    When edit 1100 of revision 1 is sent to node "a"
    And 250 ms pass
    And the next 1 responses of the table are lost
    Then edit 1100 is accepted as revision 2
    And within 3000 ms every node has revision 2

  Scenario: The response is lost and another operator edits the document afterwards
    Given requests to the table take 100 ms
    When edit 1100 of revision 1 is sent to node "a"
    And 250 ms pass
    And the next 1 responses of the table are lost
    And 80 ms pass
    And edit 1200 of revision 2 is written to the table directly
    Then edit 1100 is accepted as revision 2
    And within 3000 ms every node has revision 3

  Scenario: A node restarts in an outage of the table
    Given edit 1100 was accepted at node "b" as revision 2
    And node "c" is isolated
    And the table is down
    When node "a" restarts
    Then node "a" has revision 2

  Scenario: A node that restarts in an outage and reaches no peer has no document
    Given the table is down
    And node "a" is isolated
    When node "a" restarts
    And 5000 ms pass
    Then node "a" has no revision
    When all faults end
    Then within 3000 ms every node has revision 1

  Scenario: A node is disconnected from the table but reaches its peers
    Given node "c" is disconnected from the table
    When edit 1100 of revision 1 is sent to node "a"
    Then edit 1100 is accepted as revision 2
    And within 3000 ms every node has revision 2

  Scenario: A data centre is disconnected from the table and from all peers
    Given node "c" is disconnected from the table
    And node "c" is isolated
    When edit 1100 of revision 1 is sent to node "a"
    Then edit 1100 is accepted as revision 2
    And node "c" has revision 1
    When edit 1200 of revision 1 is sent to node "c"
    Then edit 1200 is not accepted
    When all faults end
    Then within 3000 ms every node has revision 2

  Scenario: Nodes that cannot reach each other get the document from the table
    Given node "a" is isolated
    And node "b" is isolated
    And node "c" is isolated
    When edit 1100 of revision 1 is sent to node "a"
    Then edit 1100 is accepted as revision 2
    And within 3000 ms every node has revision 2

  Scenario: Delayed messages with earlier revisions arrive
    Given edit 1100 was accepted at node "b" as revision 2
    And the table is down
    When delayed messages reach node "a"
    And delayed messages reach node "c"
    Then node "a" has revision 2
    And node "c" has revision 2
