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

  Scenario: A home answers for an agent that died after a start
    Given tasks run for 3000 ms
    When job "k1" owned by e3 of 1 tasks is submitted at e1 for 60 seconds
    And 1 seconds pass
    And e3 is lost with its host
    And u1 is lost with its host
    And u2 is lost with its host
    And u3 is lost with its host
    And u4 is lost with its host
    And agent u8 starts in perth
    And job "k1" owned by e3 of 1 tasks is submitted at e2 for 60 seconds
    Then the last request for "k1" is answered failed may_have_run owner_lost
    And no task started twice

  Scenario: A job runs on the next owner although agents died that had no part in it
    When u1 is lost with its host
    And u2 is lost with its host
    And e3 is lost with its host
    And job "k1" owned by e3 of 4 tasks is submitted at e1 for 60 seconds
    Then the last request for "k1" is answered complete
    And no task started twice
