Feature: Entries leave, end and return without a second start

  Background:
    Given entries in perth, stirling, dundee
    And 6 upstreams in perth, stirling, dundee

  Scenario: A planned leave interrupts no job
    Given tasks run for 400 ms
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
    When job "k1" of 10 tasks is submitted at e1 for 60 seconds
    And job "k2" of 10 tasks is submitted at e1 for 60 seconds
    And job "k3" of 10 tasks is submitted at e1 for 60 seconds
    And u1, u2, u3, u4 are paused as soon as tasks reach them
    And e2 is lost with its host
    And e3 is lost with its host
    And 8 seconds pass
    And job "k1" of 10 tasks is submitted at e1 for 60 seconds
    And job "k2" of 10 tasks is submitted at e1 for 60 seconds
    And job "k3" of 10 tasks is submitted at e1 for 60 seconds
    And 20 seconds pass
    And u1, u2, u3, u4 resume
    And 30 seconds pass
    Then no task started twice

  Scenario: An agent and the home that relayed to it are both lost
    Given tasks run for 3000 ms
    When job "k1" owned by e3 of 1 tasks is submitted at e1 for 60 seconds
    And 1 seconds pass
    And e3 is lost with its host
    And u3 is lost with its host
    And u6 is lost with its host
    And job "k1" owned by e3 of 1 tasks is submitted at e2 for 60 seconds
    Then the last request for "k1" is answered failed may_have_run owner_lost
    And no task started twice

  Scenario: A job whose owner died before it started anything runs on the next owner
    When e3 is lost with its host
    And job "k1" owned by e3 of 4 tasks is submitted at e1 for 60 seconds
    Then the last request for "k1" is answered complete
    And no task started twice

  Scenario: The deadline ends while it is being found out whether a job has run
    When e3 is lost with its host
    And 1 seconds pass
    And job "k1" owned by e3 of 4 tasks is submitted at e1 for 3 seconds
    Then the last request for "k1" is answered unknown recovering

  Scenario: An agent that was ended returns after a hold and takes work again
    When u1 is paused
    And 20 seconds pass
    Then agent u1 is not registered at e2
    When u1 resumes
    And 4 seconds pass
    Then agent u1 is registered at e2
    When jobs of 40 tasks arrive at e1, e2, e3 for 2 seconds
    And 4 seconds pass
    Then agent u1 started a task in the last 4 seconds

  Scenario: An entry that ends again and again is held back for longer
    When e2 is paused
    And 10 seconds pass
    And e2 resumes
    And 3 seconds pass
    Then e2 is present on the roster of e1
    When e2 is paused
    And 10 seconds pass
    And e2 resumes
    And 3 seconds pass
    And e2 is paused
    And 10 seconds pass
    And e2 resumes
    And 1 seconds pass
    Then the hold of e2 is 4 seconds
