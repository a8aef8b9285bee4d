Feature: Callers see over HTTP what has happened to their jobs

  Background:
    Given entries in perth, stirling, dundee
    And 4 upstreams in perth, stirling

  Scenario: A job is answered whole at the entry that received it
    When the job "k1" with tasks a, b, c is posted to e1
    Then the answer is 200 with state complete
    And the results are a, b, c
    And every task started once

  Scenario: The same job at another entry gets the same answer and starts nothing
    When the job "k1" with tasks a, b, c is posted to e1
    And the job "k1" with tasks a, b, c is posted to e2
    Then the answer is 200 with state complete
    And the results are a, b, c
    And every task started once

  Scenario: Other content under the same key is refused
    When the job "k1" with tasks a, b, c is posted to e1
    And the job "k1" with tasks a, x, c is posted to e3
    Then the answer is 409 with reason key_conflict
    And 3 tasks started

  Scenario: A job that is still running is reported as such, then as complete
    Given each task runs for 4000 ms
    When the job "k1" with tasks a, b is posted to e2 with wait 500
    Then the answer is 202 with state running
    When the job "k1" is looked up at e3 with wait 9000
    Then the answer is 200 with state complete

  Scenario: A cancelled job ends and says what ran
    Given each task runs for 4000 ms
    When the job "k1" with tasks a, b is posted to e2 with wait 500
    And the job "k1" is cancelled at e1
    Then the answer is 200 with reason cancelled
    And the truth is failed

  Scenario: A job whose task fails is answered as failed
    Given each task fails
    When the job "k1" with tasks a, b is posted to e1
    Then the answer is 200 with state failed
    And the truth is failed

  Scenario: Only a request without a key is known not to have run at an entry without evidence
    Given e1 has lost the log and its peers for 5000 ms
    When the job "k1" with tasks a is posted to e1
    Then the answer is 503 with reason not_current
    And the truth is may_have_run
    When a request is posted to e1
    Then the answer is 503 with reason not_current
    And the truth is not_run
    And 0 tasks started

  Scenario: A key that nobody submitted is not known
    When the job "k9" is looked up at e1 with wait 0
    Then the answer is 404 with state absent
