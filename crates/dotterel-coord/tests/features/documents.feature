Feature: An accepted document is in force everywhere and never reverts
  Operators edit one service's document at different nodes. An edit is known by its start limit.

  Background:
    Given nodes "a", "b" and "c"
    And edit 1000 was accepted at node "a" as revision 1

  Scenario: Two operators race
    When edit 1100 of revision 1 is sent to node "a"
    And edit 1200 of revision 1 is sent to node "b"
    Then exactly one of the edits 1100 and 1200 is accepted as revision 2
    And the other one is told the current text
    And within 3000 ms every node has revision 2

  Scenario: The answer to the write is lost
    Given calls to the table take 100 ms
    When edit 1100 of revision 1 is sent to node "a"
    And 250 ms pass
    And the next 1 answers of the table are lost
    Then edit 1100 is accepted as revision 2
    And within 3000 ms every node has revision 2

  Scenario: The answer is lost and another operator has edited since
    Given calls to the table take 100 ms
    When edit 1100 of revision 1 is sent to node "a"
    And 250 ms pass
    And the next 1 answers of the table are lost
    And 80 ms pass
    And edit 1200 of revision 2 is written past the nodes
    Then edit 1100 is accepted as revision 2
    And within 3000 ms every node has revision 3

  Scenario: A node restarts in an outage
    Given edit 1100 was accepted at node "b" as revision 2
    And node "c" is isolated
    And the table is down
    When node "a" restarts
    Then node "a" has revision 2

  Scenario: A node that restarts in an outage and reaches no peer serves nothing
    Given the table is down
    And node "a" is isolated
    When node "a" restarts
    And 5000 ms pass
    Then node "a" has no revision
    When all faults end
    Then within 3000 ms every node has revision 1

  Scenario: A node is cut from the table but reaches its peers
    Given node "c" is cut from the table
    When edit 1100 of revision 1 is sent to node "a"
    Then edit 1100 is accepted as revision 2
    And within 3000 ms every node has revision 2

  Scenario: A data centre is cut off
    Given node "c" is cut from the table
    And node "c" is isolated
    When edit 1100 of revision 1 is sent to node "a"
    Then edit 1100 is accepted as revision 2
    And node "c" has revision 1
    When edit 1200 of revision 1 is sent to node "c"
    Then edit 1200 is not accepted
    When all faults end
    Then within 3000 ms every node has revision 2

  Scenario: Only the table brings the document to nodes that do not hear each other
    Given node "a" is isolated
    And node "b" is isolated
    And node "c" is isolated
    When edit 1100 of revision 1 is sent to node "a"
    Then edit 1100 is accepted as revision 2
    And within 3000 ms every node has revision 2

  Scenario: Late messages about earlier revisions arrive
    Given edit 1100 was accepted at node "b" as revision 2
    And the table is down
    When late messages reach node "a"
    And late messages reach node "c"
    Then node "a" has revision 2
    And node "c" has revision 2
