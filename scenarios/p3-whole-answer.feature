Feature: P3 whole-answer

  Scenario: targets cut answers half-way
    Given the water mesh runs
    When 40 status-inquiry a second arrive for 4 s
    And 30 issue-fee a second arrive for 4 s
    And target billing-1 cuts its next 10 answers
    And 1 s pass
    And target inspections-2 cuts its next 10 answers
    And 1 s pass
    And target status-1 cuts its next 10 answers
    And all orders have their last answer
    Then no answer is wrong
    And no order ran twice
    And at least 100 answers are whole

  Scenario: open connections go silent and a target cuts its answers
    Given the cooperative mesh runs
    And a relay stands before node returns-1
    And a relay stands before node lending-1
    When 40 look-up-die a second arrive for 4 s
    And 20 log-return a second arrive for 4 s
    And 1 s pass
    And the open connections to node returns-1 go silent
    And target returns-2 cuts its next 5 answers
    And 1 s pass
    And the open connections to node lending-1 go silent
    And all orders have their last answer
    Then no answer is wrong
    And no order ran twice
    And at least 100 answers are whole
