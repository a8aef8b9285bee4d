Feature: Work goes on only while it is known what operators have accepted

  Background:
    Given entries in perth, stirling, dundee
    And 6 upstreams in perth, stirling, dundee

  Scenario: A drain while the log answers slowly
    Given the log answers after 900 ms
    When jobs of 4 tasks arrive at e1, e2, e3 for 12 seconds
    And 3 seconds pass
    And change "c1" drains perth at e2
    And 9 seconds pass
    Then no task started in perth 3 s after change "c1" was accepted
    And tasks started in the last 1 seconds
    And datacentres perth is shown as drained at e3

  Scenario: A drain while a data centre is cut from the log and from its peers
    When jobs of 4 tasks arrive at e1, e2, e3 for 12 seconds
    And 2 seconds pass
    And e1 is cut from the log, e2, e3
    And change "c1" drains perth at e2
    And 10 seconds pass
    Then no task started in perth 3 s after change "c1" was accepted

  Scenario: A drain whose append is answered late is obeyed by all entries
    Given appends of e2 reach the log after 10 ms
    When jobs of 4 tasks arrive at e1, e2, e3 for 12 seconds
    And 2 seconds pass
    And change "c1" drains perth at e2
    And 0 seconds pass
    And the log is down
    And 9 seconds pass
    Then no task started in perth 3 s after change "c1" was accepted
    And tasks started in the last 1 seconds

  Scenario: A drain reaches an entry that is cut from the log only
    When jobs of 4 tasks arrive at e1, e2, e3 for 12 seconds
    And 2 seconds pass
    And e1 is cut from the log
    And change "c1" drains perth at e2
    And 9 seconds pass
    Then no task started in perth 3 s after change "c1" was accepted
    And datacentres perth has generation 1 at every entry

  Scenario: The log is down and all entries are alive
    When jobs of 4 tasks arrive at e1, e2, e3 for 20 seconds
    And 2 seconds pass
    And the log is down
    And 15 seconds pass
    Then tasks started in the last 1 seconds
    When change "c1" drains perth at e1
    Then change "c1" is answered refused log_unreachable

  Scenario: The log is down and one entry is silent
    When jobs of 4 tasks arrive at e1, e2 for 30 seconds
    And 2 seconds pass
    And the log is down
    And 3 seconds pass
    And e3 is lost with its host
    And 8 seconds pass
    Then no task started in the last 4 seconds
    When the log is up
    And 12 seconds pass
    Then tasks started in the last 1 seconds

  Scenario: The log is down and a dead entry's host refuses connections
    When jobs of 4 tasks arrive at e1, e2 for 30 seconds
    And 2 seconds pass
    And the log is down
    And 3 seconds pass
    And e3 is killed
    And 8 seconds pass
    Then tasks started in the last 1 seconds

  Scenario: A writer that was paused for 30 s writes late
    Given appends of e1 reach the log after 30000 ms
    When change "c1" drains perth at e1
    And 0 seconds pass
    And e1 is paused
    And 28 seconds pass
    And appends arrive at once
    And 5 seconds pass
    And e1 resumes
    And 5 seconds pass
    Then change "c1" is known as refused ended_author at e2
    And change "c1" is known as refused ended_author at e1

  Scenario: The looser rule needs one report from each data centre
    Given an entry e4 in perth, and one report per data centre is enough
    When jobs of 4 tasks arrive at e1, e2 for 30 seconds
    And 2 seconds pass
    And e4 is lost with its host
    And 1 seconds pass
    And the log is down
    And 8 seconds pass
    Then tasks started in the last 1 seconds
    When e3 is lost with its host
    And 8 seconds pass
    Then no task started in the last 4 seconds
