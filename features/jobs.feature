Feature: A job runs once and is answered as a whole

  Background:
    Given entries in perth, stirling, dundee
    And 4 upstreams in perth, stirling

  Scenario: A job of many tasks is answered completely
    When a job "k1" of 100 tasks is submitted at e1
    Then the job "k1" ends complete
    And every task started once

  Scenario: A job submitted again at another entry does not run twice
    When a job "k1" of 20 tasks is submitted at e1
    And a job "k1" of 20 tasks is submitted at e2
    Then the job "k1" ends complete
    And every task started once
