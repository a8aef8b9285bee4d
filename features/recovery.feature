Feature: No start for an owner that has ended

  Background:
    Given entries in perth, stirling, dundee
    And 4 upstreams in perth, stirling

  Scenario: A new agent has met only the owner that ended
    When e3 is cut from e1, e2, u1, u2, u3, u4, the log
    And u7 is cut from e1, e2
    And agent u7 starts in dundee
    And 1 seconds pass
    And job "k1" owned by e3 of 4 tasks is submitted at e3 for 60 seconds
    And 10 seconds pass
    And job "k1" owned by e3 of 4 tasks is submitted at e1 for 60 seconds
    Then the last request for "k1" is answered complete
    When the network is whole again
    And 10 seconds pass
    Then no task started twice
    And e3 is present on the roster of e1
