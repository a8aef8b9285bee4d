Feature: Work goes to upstreams that can do it

  Background:
    Given entries in perth, stirling, dundee
    And 6 upstreams in perth, stirling, dundee

  Scenario: A job for a service without upstreams fails soon and has not run
    When a job "k1" of 5 tasks for service "unknown" is submitted at e1
    Then the job "k1" ends failed within 3000 ms
    And the job "k1" has truth "not_run" and reason "no_upstream"

  Scenario: A task that is larger than every upstream does not hold up the others
    When a job "big" of 50 tasks with 64000 MB is submitted at e1
    And a job "small" of 50 tasks is submitted at e1
    Then the job "small" ends complete within 1000 ms
    And the job "big" ends failed within 3000 ms
    And the job "big" has truth "not_run" and reason "fits_nowhere"

  Scenario: A slow upstream gets fewer tasks than a fast one
    Given the upstream u1 is 5 times slower
    When 40 jobs of 10 tasks are submitted one after the other
    Then all of these jobs end complete
    And the upstream u1 ran fewer tasks than u2
    And every task started once

  Scenario: A drained data centre gets no work and all of it once restored
    When a job "k1" of 200 tasks is submitted at e1
    And the data centre stirling is drained for 4000 ms
    Then the job "k1" ends complete
    And every task started once
    And nothing started in stirling from 500 ms after the drain until its end

  Scenario: A frozen agent does not hold up a job for long
    When the agent u1 is frozen for 3000 ms
    And a job "k1" of 100 tasks is submitted at e2
    Then the job "k1" ends complete within 6000 ms
    And every task started once
