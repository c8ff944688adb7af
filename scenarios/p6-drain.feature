Feature: P6 drain

  Scenario: a node drains under load
    Given the water mesh runs
    When 40 issue-fee a second arrive for 5 s
    And 0.5 s pass
    And node billing-1 is drained
    And all orders have their last answer
    Then no work reached billing-1 after 3 s of its drain
    And at least 0.90 of the issue-fee in phase load are whole

  Scenario: a node drains under a surge while the log service is down
    Given the cooperative mesh runs
    When the log service goes down
    And the usual mix arrives at 1.2 times the usual rate for 5 s in phase surge
    And 0.5 s pass
    And node lending-1 is drained
    And all orders have their last answer
    Then no work reached lending-1 after 3 s of its drain
    And at least 0.99 of the log-return in phase surge are whole
    And no answer is wrong
