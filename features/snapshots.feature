Feature: The control state outlives the records of the log

  Background:
    Given entries in perth, stirling, dundee with a snapshot every 10 records
    And 6 upstreams in perth, stirling, dundee

  Scenario: Records expire while an entry is away
    When e3 is cut from e1, e2, the log
    And 60 changes of team a are made at e1
    And all records but the last 5 expire
    And the network is whole again
    And 5 seconds pass
    Then e3 is present on the roster of e1
    And teams a has generation 60 at every entry

  Scenario: An entry starts after the first records have expired
    When 60 changes of team a are made at e1
    And all records but the last 5 expire
    And entry e4 starts in perth
    And 3 seconds pass
    Then e4 is present on the roster of e1
    And teams a has generation 60 at every entry
    And the state of e4 equals that of e1

  Scenario: An entry that starts while the log is down takes a peer's state
    When change "c1" sets team a to weight 2 at e1
    And 2 seconds pass
    And the log is down
    And entry e4 starts in perth and knows e1
    And 2 seconds pass
    Then teams a has generation 1 at every entry
    And e4 is absent on the roster of e1

  Scenario: All entries are replaced one after another, the log down part of the time
    When jobs of 4 tasks arrive at e3 for 10 seconds
    And entry e4 starts in perth
    And 2 seconds pass
    And e1 is asked to leave
    And 1 seconds pass
    And the log is down
    And e2 is asked to leave
    And 4 seconds pass
    And the log is up
    And entry e5 starts in stirling
    And 4 seconds pass
    And entry e6 starts in dundee
    And 4 seconds pass
    And e3 is asked to leave
    And jobs of 4 tasks arrive at e4, e5, e6 for 10 seconds
    And 12 seconds pass
    Then e1 is absent on the roster of e6
    And e2 is absent on the roster of e6
    And e3 is absent on the roster of e6
    And no submitted job failed but by its deadline
    And no task started twice
