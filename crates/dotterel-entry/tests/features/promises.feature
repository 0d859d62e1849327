Feature: What must always hold
  Every scenario ends with the whole judgement: no worker over its capacity, no work in two places,
  whole answers to their own requests, true refusals, keys that run at most once, no new work on
  leaving workers, no caller cut off by a planned stop, and documents that never go back.

  @death
  Scenario: A node dies under load
    Given a cell of 1 data centre with 3 nodes and 3 workers each
    And callers send 60 layout calls of 120 ms a second for 2500 ms
    When 30 calls have started
    And node a1 dies
    Then at least 40 calls ran
    And the live nodes settle
    And every live node serves a bracket-count

  @death
  Scenario: A node dies and starts again at once
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And 8 callers send a layout of 800 ms to node a1
    When 4 calls have started
    And node a1 dies
    And node a1 starts again
    Then the live nodes settle
    And every live node serves a bracket-count

  @pause
  Scenario: A node pauses past its leases and goes on with what it had planned
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 80 layout calls of 150 ms a second for 3500 ms
    When 20 calls have started
    And node a1 pauses
    And 2000 ms pass
    And node a1 goes on
    Then at least 40 calls ran
    And the live nodes settle
    And every live node serves a bracket-count

  @pause
  Scenario: Starts arrive after a pause and after a new grant
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When calls to worker a-w001 take 200 ms
    And callers send 60 layout calls of 150 ms a second for 3500 ms
    And 15 calls have started
    And node a1 pauses
    And 1200 ms pass
    And node a1 goes on
    And node a2 pauses
    And 1200 ms pass
    And node a2 goes on
    And all faults end
    Then at least 20 calls ran
    And the live nodes settle
    And every live node serves a bracket-count

  @cut
  Scenario: A data centre is cut from the others and from the platform
    Given a cell of 2 data centres with 2 nodes and 2 workers each
    And callers send 60 layout calls of 100 ms a second for 4000 ms
    When 20 calls have started
    And data centre b is cut from the others
    And data centre b is cut from the platform
    And order "roof-7" of 200 ms is sent to node a1
    And order "roof-8" of 200 ms is sent to node b1
    And 3000 ms pass
    And all faults end
    Then at least 60 calls ran
    And the live nodes settle
    And the newest document is in force on every live node soon
    And every live node serves a bracket-count

  @cut
  Scenario: A cut data centre goes on serving and knows the older document until the cut ends
    Given a cell of 2 data centres with 1 node and 1 worker each
    When data centre b is cut from the others
    And data centre b is cut from the platform
    And an operator edits the document at node a1
    And an operator tries to edit the document at node b1
    And all faults end
    Then the newest document is in force on every live node soon
    And every live node serves a bracket-count

  @cut
  Scenario: Work that was forwarded before a cut is not started a second time
    Given a cell of 2 data centres with 1 node and 1 worker each
    And 2 callers send a simulation of 5000 ms to node a1
    When 2 calls have started
    And 1 callers send a simulation of 13000 ms to node a1
    And 3 calls have started
    And data centre b is cut from the others
    Then every caller is told something
    And at least 2 calls ran

  @table
  Scenario: The table is down for a while under load
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 3000 ms
    When the table is down for 2000 ms
    And 5 orders of 100 ms are sent to each node
    And all orders are repeated at node a2
    Then at least 100 calls ran

  @table
  Scenario: The table is slow and loses answers after their effect
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When calls to the table take 400 ms
    And the next 6 answers of the table are lost
    And 6 orders of 100 ms are sent to each node
    And all orders are repeated at node a1
    And an operator tries to edit the document at node a2
    And the next 2 answers of the table are lost
    And an operator tries to edit the document at node a1
    Then every caller is told something
    And at least 6 calls ran

  @keys
  Scenario: A caller repeats its order in another data centre while the first node dies
    Given a cell of 2 data centres with 1 node and 1 worker each
    When order "roof-7" of 600 ms is sent to node a1
    And order "roof-7" runs
    And node a1 dies
    And all orders are repeated at node b1
    And 500 ms pass
    And node a1 starts again
    And all orders are repeated at node a1
    Then order "roof-7" ran once

  @keys
  Scenario: An order is sent to every node at once
    Given a cell of 2 data centres with 2 nodes and 1 worker each
    When 6 orders of 200 ms are sent to each node
    And all orders are repeated at node b2
    And all orders are repeated at node a1
    And node a2 dies
    And all orders are repeated at node b1
    Then at least 12 calls ran

  @silence
  Scenario: Open connections to a worker fall silent while new ones work
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 300 ms a second for 3000 ms
    When 15 calls have started
    And open connections to worker a-w001 fall silent
    And order "roof-7" of 400 ms is sent to node a1
    And order "roof-8" of 400 ms is sent to node a2
    And 800 ms pass
    And open connections to worker a-w001 fall silent
    And open connections to worker a-w002 fall silent
    Then at least 60 calls ran
    And the live nodes settle
    And every live node serves a bracket-count

  @workers
  Scenario: A worker fails everything that it starts
    Given a cell of 1 data centre with 2 nodes and 3 workers each
    When worker a-w001 fails everything
    And callers send 40 layout calls of 100 ms a second for 2500 ms
    Then at least 60 calls ran

  @workers
  Scenario: A worker cuts its answers short
    Given a cell of 1 data centre with 2 nodes and 3 workers each
    And callers send 40 layout calls of 100 ms a second for 2500 ms
    When 10 calls have started
    And worker a-w001 cuts its answers short
    And order "roof-7" of 100 ms is sent to node a1
    And 1500 ms pass
    And all faults end
    Then at least 40 calls ran
    And the live nodes settle

  @workers
  Scenario: A worker restarts and another one loses answers
    Given a cell of 1 data centre with 2 nodes and 3 workers each
    And callers send 40 layout calls of 200 ms a second for 3000 ms
    When 5 orders of 300 ms are sent to each node
    And 15 calls have started
    And worker a-w001 restarts
    And worker a-w002 loses the next 12 answers
    And all orders are repeated at node a2
    Then at least 60 calls ran
    And the live nodes settle
    And every live node serves a bracket-count

  @leaving
  Scenario: A worker says itself that it leaves
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 2500 ms
    When 10 calls have started
    And worker a-w001 says that it leaves
    Then at least 60 calls ran
    And no call is told unknown

  @leaving
  Scenario: The list says that a worker leaves
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 5000 ms
    When 10 calls have started
    And the list says after 0 ms that worker a-w001 leaves
    Then at least 100 calls ran
    And no call is told unknown

  @leaving
  Scenario: A lagging list says that a worker leaves
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 6500 ms
    When 10 calls have started
    And the list lags by 1500 ms
    And the list says after 1500 ms that worker a-w001 leaves
    Then at least 100 calls ran
    And no call is told unknown

  @leaving
  Scenario: A worker leaves by its own word while the list is out of reach
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 3000 ms
    When the list is out of reach
    And 10 calls have started
    And worker a-w001 says that it leaves
    Then at least 60 calls ran
    And no call is told unknown

  @stop
  Scenario: A node stops under load
    Given a cell of 1 data centre with 3 nodes and 3 workers each
    And callers send 60 layout calls of 150 ms a second for 3000 ms
    And 6 callers send a layout of 1500 ms to node a1
    When 30 calls have started
    And node a1 stops
    Then at least 100 calls ran
    And no call is told unknown
    And the live nodes settle

  @stop
  Scenario: Two nodes stop together during a crest
    Given a cell of 1 data centre with 3 nodes and 3 workers each
    And callers send 150 bracket-count calls of 150 ms a second for 2500 ms
    When 4 orders of 300 ms are sent to each node
    And 40 calls have started
    And nodes a1 and a2 stop together
    Then at least 60 calls ran
    And no call is told unknown
    And the live nodes settle

  @stop
  Scenario: All nodes of a data centre are replaced one after another
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 150 ms a second for 4000 ms
    When 10 calls have started
    And node a1 stops
    And 2500 ms pass
    And node a1 starts again
    Then at least 60 calls ran
    And no call is told unknown
    And the live nodes settle

  @documents
  Scenario: Operators race on one document at two nodes
    Given a cell of 2 data centres with 1 node and 1 worker each
    When two operators edit the document at nodes a1 and b1
    Then the newest document is in force on every live node soon
    When two operators edit the document at nodes b1 and a1
    Then the newest document is in force on every live node soon

  @documents
  Scenario: A node that starts during an outage gets the newest document from its peer
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When an operator edits the document at node a1
    Then the newest document is in force on every live node soon
    When node a2 dies
    And the platform is down
    And node a2 starts again
    Then the newest document is in force on every live node soon

  @documents
  Scenario: A paused node does not bring an older document back
    Given a cell of 1 data centre with 2 nodes and 1 worker each
    When node a2 pauses
    And an operator edits the document at node a1
    And an operator edits the document at node a1
    And node a2 goes on
    Then the newest document is in force on every live node soon

  @work
  Scenario: Work that fits no worker blocks nobody
    Given a cell of 1 data centre with 2 nodes and 1 worker each
    When 20 callers send a giant of 100 ms to node a1
    And callers send 20 bracket-count calls of 50 ms a second for 1500 ms
    Then no giant ran
    And at least 25 calls ran

  @work
  Scenario: Callers hang up in a wave
    Given a cell of 1 data centre with 2 nodes and 1 worker each
    When 40 callers send a layout of 700 ms to node a1 and hang up after 400 ms
    And 40 callers send a layout of 700 ms to node a2 and hang up after 600 ms
    And 700 ms pass
    Then every live node serves a layout

  @work
  Scenario: Run times are far off what was declared
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When 6 callers send a layout of 3000 ms to node a1
    And 4 callers send a simulation of 10 ms to node a2
    And callers send 20 bracket-count calls of 30 ms a second for 2000 ms
    Then every caller is told something
    And at least 20 calls ran

  @pairs
  Scenario: A node dies while a data centre is cut
    Given a cell of 2 data centres with 2 nodes and 2 workers each
    And callers send 40 layout calls of 150 ms a second for 4000 ms
    When 3 orders of 300 ms are sent to each node
    And 20 calls have started
    And data centre b is cut from the others
    And node b1 dies
    And all orders are repeated at node a1
    And 1500 ms pass
    And all faults end
    Then at least 50 calls ran
    And the live nodes settle
    And every live node serves a bracket-count

  @pairs
  Scenario: A node pauses during an outage of the table
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 150 ms a second for 4000 ms
    When 4 orders of 300 ms are sent to each node
    And the table is down for 2000 ms
    And node a1 pauses
    And all orders are repeated at node a2
    And 1500 ms pass
    And node a1 goes on
    Then at least 40 calls ran
    And the live nodes settle
    And every live node serves a bracket-count

  @pairs
  Scenario: A node stops while another dies and a worker falls silent
    Given a cell of 1 data centre with 3 nodes and 3 workers each
    And callers send 60 layout calls of 150 ms a second for 3000 ms
    When 2 orders of 400 ms are sent to each node
    And 20 calls have started
    And node a1 stops
    And node a2 dies
    And open connections to worker a-w002 fall silent
    And all orders are repeated at node a3
    Then at least 100 calls ran
    And the live nodes settle
    And every live node serves a bracket-count

  @pairs
  Scenario: A worker restarts while its owner pauses and starts are late
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When calls to worker a-w001 take 150 ms
    And callers send 40 layout calls of 200 ms a second for 3500 ms
    And 3 orders of 300 ms are sent to each node
    And 15 calls have started
    And node a1 pauses
    And worker a-w001 restarts
    And 1300 ms pass
    And node a1 goes on
    And worker a-w002 restarts
    Then at least 30 calls ran
    And the live nodes settle
    And every live node serves a bracket-count
