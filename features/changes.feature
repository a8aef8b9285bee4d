Feature: Operators' changes are kept once, or refused

  Background:
    Given entries in perth, stirling, dundee

  Scenario: An append's answer is lost and the operator repeats the change
    Given the next append loses its answer
    When change "c1" sets team a to weight 2 at e1
    Then change "c1" is answered accepted
    When change "c1" is sent again at e2 as "c1"
    Then change "c1" is answered accepted
    When change "c1" is sent again at e2 as "c2"
    Then change "c2" is answered refused lost_race
    And teams a has generation 1 at every entry

  Scenario: A change is repeated elsewhere before the first append arrives
    Given appends of e1 reach the log after 1000 ms
    When change "c1" sets team a to weight 2 at e1
    And change "c1" is sent again at e2 as "c1"
    Then change "c1" is answered accepted
    When 3 seconds pass
    Then change "c1" is known as accepted at e3
    And change "c1" is known as accepted at e1

  Scenario: Two operators change one resource at the same time
    When change "c1" sets team a to weight 2 at e1
    And change "c2" sets team a to weight 3 at e2
    Then change "c1" is answered accepted
    And change "c2" is answered refused lost_race
    And teams a has generation 1 at every entry

  Scenario: An append that was given up arrives after a later one of its author
    Given appends of e1 reach the log after 20000 ms
    When change "c1" sets team a to weight 2 at e1
    Then change "c1" is answered unknown
    And change "c1" is known as unknown at e1
    When appends arrive at once
    And 5 seconds pass
    Then change "c1" is known as refused not_appended at e1
    When 30 seconds pass
    Then change "c1" is known as refused overtaken at e2

  Scenario: A new entry accepts no change that an entry without the log cannot see
    When e3 is cut from the log
    And 1 seconds pass
    And e3 is cut from e4
    And entry e4 starts in perth
    And 1 seconds pass
    And change "c1" sets team a to weight 2 at e4
    Then change "c1" is answered refused not_ready
    When the network is whole again
    And 2 seconds pass
    And change "c2" sets team a to weight 2 at e4
    Then change "c2" is answered accepted

  Scenario: A burst of changes stays within the append budget
    When 200 changes of one team each are made at e1 at once
    And 5 seconds pass
    Then at most 120 records were appended in the last 5 seconds
    And at least 100 records were appended in the last 5 seconds
