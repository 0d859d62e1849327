Feature: Invariants of a cell under faults
  After every scenario all invariants are checked: no worker runs over its capacity, no work runs in
  two places at once, each response is complete and belongs to its request, a fate of not-run is
  true, an idempotency key runs at most once, no new work starts on leaving workers, a planned stop
  disconnects no caller, and documents never revert to an older revision.

  @crash
  Scenario: A node crashes under load
    Given a cell of 1 data centre with 3 nodes and 3 workers each
    And callers send 60 layout calls of 120 ms a second for 2500 ms
    When 30 calls have started
    And node a1 crashes
    Then at least 40 calls ran
    And the live nodes converge
    And every live node serves a bracket-count

  @crash
  Scenario: A node crashes and restarts immediately
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And 8 callers send a layout of 800 ms to node a1
    When 4 calls have started
    And node a1 crashes
    And node a1 restarts
    Then the live nodes converge
    And every live node serves a bracket-count

  @pause
  Scenario: A node resumes with its old placements after its leases have expired
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 80 layout calls of 150 ms a second for 3500 ms
    When 20 calls have started
    And node a1 pauses
    And 2000 ms pass
    And node a1 resumes
    Then at least 40 calls ran
    And the live nodes converge
    And every live node serves a bracket-count

  @pause
  Scenario: Start requests arrive after a pause and a new lease grant
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When calls to worker a-w001 take 200 ms
    And callers send 60 layout calls of 150 ms a second for 3500 ms
    And 15 calls have started
    And node a1 pauses
    And 1200 ms pass
    And node a1 resumes
    And node a2 pauses
    And 1200 ms pass
    And node a2 resumes
    And all faults are cleared
    Then at least 20 calls ran
    And the live nodes converge
    And every live node serves a bracket-count

  @partition
  Scenario: A data centre is partitioned from the others and from the platform
    Given a cell of 2 data centres with 2 nodes and 2 workers each
    And callers send 60 layout calls of 100 ms a second for 4000 ms
    When 20 calls have started
    And data centre b is partitioned from the others
    And data centre b is partitioned from the platform
    And order "roof-7" of 200 ms is sent to node a1
    And order "roof-8" of 200 ms is sent to node b1
    And 3000 ms pass
    And all faults are cleared
    Then at least 60 calls ran
    And the live nodes converge
    And the newest document is in force on every live node in time
    And every live node serves a bracket-count

  @partition
  Scenario: A partitioned data centre keeps serving with the older document until the partition ends
    Given a cell of 2 data centres with 1 node and 1 worker each
    When data centre b is partitioned from the others
    And data centre b is partitioned from the platform
    And an operator edits the document at node a1
    And an operator tries to edit the document at node b1
    And all faults are cleared
    Then the newest document is in force on every live node in time
    And every live node serves a bracket-count

  @partition
  Scenario: Work that was forwarded before a partition is not started twice
    Given a cell of 2 data centres with 1 node and 1 worker each
    And 2 callers send a simulation of 5000 ms to node a1
    When 2 calls have started
    And 1 callers send a simulation of 13000 ms to node a1
    And 3 calls have started
    And data centre b is partitioned from the others
    Then every call ends
    And at least 2 calls ran

  @table
  Scenario: The table is temporarily down under load
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 3000 ms
    When the table is down for 2000 ms
    And 5 orders of 100 ms are sent to each node
    And all orders are repeated at node a2
    Then at least 100 calls ran

  @table
  Scenario: The table is slow and loses replies of calls that took effect
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When calls to the table take 400 ms
    And the next 6 replies of the table are lost
    And 6 orders of 100 ms are sent to each node
    And all orders are repeated at node a1
    And an operator tries to edit the document at node a2
    And the next 2 replies of the table are lost
    And an operator tries to edit the document at node a1
    Then every call ends
    And at least 6 calls ran

  @keys
  Scenario: A caller repeats its order in another data centre after the first node has crashed
    Given a cell of 2 data centres with 1 node and 1 worker each
    When order "roof-7" of 600 ms is sent to node a1
    And order "roof-7" has started
    And node a1 crashes
    And all orders are repeated at node b1
    And 500 ms pass
    And node a1 restarts
    And all orders are repeated at node a1
    Then order "roof-7" ran once

  @keys
  Scenario: Orders are repeated at several nodes
    Given a cell of 2 data centres with 2 nodes and 1 worker each
    When 6 orders of 200 ms are sent to each node
    And all orders are repeated at node b2
    And all orders are repeated at node a1
    And node a2 crashes
    And all orders are repeated at node b1
    Then at least 12 calls ran

  @stall
  Scenario: Open connections to a worker stall while new ones work
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 300 ms a second for 3000 ms
    When 15 calls have started
    And open connections to worker a-w001 stall
    And order "roof-7" of 400 ms is sent to node a1
    And order "roof-8" of 400 ms is sent to node a2
    And 800 ms pass
    And open connections to worker a-w001 stall
    And open connections to worker a-w002 stall
    Then at least 60 calls ran
    And the live nodes converge
    And every live node serves a bracket-count

  @workers
  Scenario: A worker fails every task that it starts
    Given a cell of 1 data centre with 2 nodes and 3 workers each
    When worker a-w001 fails every task
    And callers send 40 layout calls of 100 ms a second for 2500 ms
    Then at least 60 calls ran

  @workers
  Scenario: A worker truncates its responses
    Given a cell of 1 data centre with 2 nodes and 3 workers each
    And callers send 40 layout calls of 100 ms a second for 2500 ms
    When 10 calls have started
    And worker a-w001 truncates its responses
    And order "roof-7" of 100 ms is sent to node a1
    And 1500 ms pass
    And all faults are cleared
    Then at least 40 calls ran
    And the live nodes converge

  @workers
  Scenario: A worker restarts and another one loses replies
    Given a cell of 1 data centre with 2 nodes and 3 workers each
    And callers send 40 layout calls of 200 ms a second for 3000 ms
    When 5 orders of 300 ms are sent to each node
    And 15 calls have started
    And worker a-w001 restarts
    And worker a-w002 loses the next 12 replies
    And all orders are repeated at node a2
    Then at least 60 calls ran
    And the live nodes converge
    And every live node serves a bracket-count

  @leaving
  Scenario: A worker announces that it is leaving
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 2500 ms
    When 10 calls have started
    And worker a-w001 announces that it is leaving
    Then at least 60 calls ran
    And no call has an unknown outcome

  @leaving
  Scenario: The VM list shows a worker as leaving
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 5000 ms
    When 10 calls have started
    And after 0 ms the VM list shows worker a-w001 as leaving
    Then at least 100 calls ran
    And no call has an unknown outcome

  @leaving
  Scenario: A lagging VM list shows a worker as leaving
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 6500 ms
    When 10 calls have started
    And the VM list lags by 1500 ms
    And after 1500 ms the VM list shows worker a-w001 as leaving
    Then at least 100 calls ran
    And no call has an unknown outcome

  @leaving
  Scenario: A worker announces that it is leaving while the VM list is unavailable
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 100 ms a second for 3000 ms
    When the VM list is unavailable
    And 10 calls have started
    And worker a-w001 announces that it is leaving
    Then at least 60 calls ran
    And no call has an unknown outcome

  @stop
  Scenario: A node stops under load
    Given a cell of 1 data centre with 3 nodes and 3 workers each
    And callers send 60 layout calls of 150 ms a second for 3000 ms
    And 6 callers send a layout of 1500 ms to node a1
    When 30 calls have started
    And node a1 stops
    Then at least 100 calls ran
    And no call has an unknown outcome
    And the live nodes converge

  @stop
  Scenario: Two nodes stop at the same time during peak load
    Given a cell of 1 data centre with 3 nodes and 3 workers each
    And callers send 150 bracket-count calls of 150 ms a second for 2500 ms
    When 4 orders of 300 ms are sent to each node
    And 40 calls have started
    And nodes a1 and a2 stop at the same time
    Then at least 60 calls ran
    And no call has an unknown outcome
    And the live nodes converge

  @stop
  Scenario: A node is stopped and restarted under load
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    And callers send 40 layout calls of 150 ms a second for 4000 ms
    When 10 calls have started
    And node a1 stops
    And 2500 ms pass
    And node a1 restarts
    Then at least 60 calls ran
    And no call has an unknown outcome
    And the live nodes converge

  @documents
  Scenario: Concurrent edits of a document at two nodes
    Given a cell of 2 data centres with 1 node and 1 worker each
    When two operators edit the document at the same time at nodes a1 and b1
    Then the newest document is in force on every live node in time
    When two operators edit the document at the same time at nodes b1 and a1
    Then the newest document is in force on every live node in time

  @documents
  Scenario: A node that starts during an outage gets the newest document from its peer
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When an operator edits the document at node a1
    Then the newest document is in force on every live node in time
    When node a2 crashes
    And the platform is down
    And node a2 restarts
    Then the newest document is in force on every live node in time

  @documents
  Scenario: A paused node does not restore an older document
    Given a cell of 1 data centre with 2 nodes and 1 worker each
    When node a2 pauses
    And an operator edits the document at node a1
    And an operator edits the document at node a1
    And node a2 resumes
    Then the newest document is in force on every live node in time

  @work
  Scenario: Work that fits no worker does not block other work
    Given a cell of 1 data centre with 2 nodes and 1 worker each
    When 20 callers send a giant of 100 ms to node a1
    And callers send 20 bracket-count calls of 50 ms a second for 1500 ms
    Then no giant ran
    And at least 25 calls ran

  @work
  Scenario: Many callers hang up at about the same time
    Given a cell of 1 data centre with 2 nodes and 1 worker each
    When 40 callers send a layout of 700 ms to node a1 and hang up after 400 ms
    And 40 callers send a layout of 700 ms to node a2 and hang up after 600 ms
    And 700 ms pass
    Then every live node serves a layout

  @work
  Scenario: Run times differ widely from the declared typical time
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When 6 callers send a layout of 3000 ms to node a1
    And 4 callers send a simulation of 10 ms to node a2
    And callers send 20 bracket-count calls of 30 ms a second for 2000 ms
    Then every call ends
    And at least 20 calls ran

  @pairs
  Scenario: A node crashes while its data centre is partitioned
    Given a cell of 2 data centres with 2 nodes and 2 workers each
    And callers send 40 layout calls of 150 ms a second for 4000 ms
    When 3 orders of 300 ms are sent to each node
    And 20 calls have started
    And data centre b is partitioned from the others
    And node b1 crashes
    And all orders are repeated at node a1
    And 1500 ms pass
    And all faults are cleared
    Then at least 50 calls ran
    And the live nodes converge
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
    And node a1 resumes
    Then at least 40 calls ran
    And the live nodes converge
    And every live node serves a bracket-count

  @pairs
  Scenario: A node stops while another crashes and connections to a worker stall
    Given a cell of 1 data centre with 3 nodes and 3 workers each
    And callers send 60 layout calls of 150 ms a second for 3000 ms
    When 2 orders of 400 ms are sent to each node
    And 20 calls have started
    And node a1 stops
    And node a2 crashes
    And open connections to worker a-w002 stall
    And all orders are repeated at node a3
    Then at least 100 calls ran
    And the live nodes converge
    And every live node serves a bracket-count

  @pairs
  Scenario: A worker restarts while its owner is paused and start requests are delayed
    Given a cell of 1 data centre with 2 nodes and 2 workers each
    When calls to worker a-w001 take 150 ms
    And callers send 40 layout calls of 200 ms a second for 3500 ms
    And 3 orders of 300 ms are sent to each node
    And 15 calls have started
    And node a1 pauses
    And worker a-w001 restarts
    And 1300 ms pass
    And node a1 resumes
    And worker a-w002 restarts
    Then at least 30 calls ran
    And the live nodes converge
    And every live node serves a bracket-count
