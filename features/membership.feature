Feature: Entries leave, end and return without a second start

  Background:
    Given entries in perth, stirling, dundee
    And 6 upstreams in perth, stirling, dundee

  Scenario: A planned leave interrupts no job
    When jobs of 4 tasks arrive at e1, e2, e3 for 6 seconds
    And 2 seconds pass
    And e2 is asked to leave
    And 6 seconds pass
    Then e2 is absent on the roster of e1
    And no submitted job failed but by its deadline
    And no task started twice

  Scenario: A finished job is answered after its owner has left
    When job "k1" of 4 tasks is submitted at e1 for 5 seconds
    Then the last request for "k1" is answered complete
    When e1 is asked to leave
    And 5 seconds pass
    And e2 is asked to leave
    And 5 seconds pass
    And job "k1" of 4 tasks is submitted at e3 for 5 seconds
    Then the last request for "k1" is answered complete
    And no task started twice

  Scenario: An entry that was silent is ended, and rejoins when it resumes
    When e2 is paused
    And 30 seconds pass
    Then e2 is absent on the roster of e1
    When e2 resumes
    And 5 seconds pass
    Then e2 is present on the roster of e1

  Scenario: An entry dies in the middle of a job that is submitted again elsewhere
    Given tasks run for 3000 ms
    When job "k1" of 60 tasks is submitted at e1 for 60 seconds
    And job "k2" of 60 tasks is submitted at e1 for 60 seconds
    And job "k3" of 60 tasks is submitted at e1 for 60 seconds
    And 1 seconds pass
    And e2 is killed
    And e3 is killed
    And job "k1" of 60 tasks is submitted at e1 for 60 seconds
    And job "k2" of 60 tasks is submitted at e1 for 60 seconds
    And job "k3" of 60 tasks is submitted at e1 for 60 seconds
    And 60 seconds pass
    Then no task started twice

  Scenario: The successor is killed during its census
    Given tasks run for 3000 ms
    When job "k1" of 10 tasks is submitted at e1 for 60 seconds
    And job "k2" of 10 tasks is submitted at e1 for 60 seconds
    And job "k3" of 10 tasks is submitted at e1 for 60 seconds
    And 1 seconds pass
    And e3 is lost with its host
    And 6 seconds pass
    And e2 is lost with its host
    And job "k1" of 10 tasks is submitted at e1 for 60 seconds
    And job "k2" of 10 tasks is submitted at e1 for 60 seconds
    And job "k3" of 10 tasks is submitted at e1 for 60 seconds
    And 60 seconds pass
    Then no task started twice

  Scenario: An agent leaves as planned
    When jobs of 4 tasks arrive at e1, e2, e3 for 6 seconds
    And 2 seconds pass
    And u1 is asked to leave
    And 6 seconds pass
    Then no submitted job failed but by its deadline

  Scenario: An agent is frozen between accepting a task and starting it
    Given tasks run for 1000 ms
    When job "k1" of 30 tasks is submitted at e1 for 60 seconds
    And u1 is paused
    And 30 seconds pass
    And u1 resumes
    And job "k1" of 30 tasks is submitted at e2 for 60 seconds
    And 30 seconds pass
    Then no task started twice

  Scenario: A new agent has met only the owner that ended
    When e3 is cut from e1, e2, the log
    And agent u7 starts in dundee
    And 1 seconds pass
    And job "k1" of 200 tasks is submitted at e3 for 60 seconds
    And 10 seconds pass
    And job "k1" of 200 tasks is submitted at e1 for 60 seconds
    And 10 seconds pass
    And the network is whole again
    And 10 seconds pass
    Then no task started twice
