Feature: Operators see over HTTP what has become of their changes

  Background:
    Given entries in perth, stirling, dundee

  Scenario: A change that is accepted at one entry is read at the others
    When drain of perth is put at e1
    Then the answer is 201 with state accepted
    When 1 seconds pass
    And datacentres perth is read at e3
    Then the spec says drain
    And the generation is 1

  Scenario: A change of an older generation is a conflict
    When drain of perth is put at e1
    And 1 seconds pass
    And drain of perth is put at e2 for generation 0
    Then the answer is 409 with reason lost_race
    And the truth is not_applied

  Scenario: An append whose answer is lost is settled by reading
    Given the next append loses its answer
    When drain of perth is put at e1
    Then the answer is 201 with state accepted

  Scenario: An outcome that stays open is 202 until it is known
    Given appends of e1 reach the log after 20000 ms
    When drain of perth is put at e1
    Then the answer is 202 with state unknown
    And the truth is may_be_applied
    When the change is asked for at e2
    Then the answer is 202 with state unknown
    When appends arrive at once
    And 30 seconds pass
    And the change is asked for at e2
    Then the answer is 200 with truth not_applied

  Scenario: No change is accepted while the log is down
    Given the log is down for 1 seconds
    When drain of perth is put at e1
    Then the answer is 503 with reason log_unreachable
    And the truth is not_applied
