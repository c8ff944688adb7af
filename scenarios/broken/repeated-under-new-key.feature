Feature: Must fail: callers retry an order as a new one

  Scenario: at-most-once is violated by callers that retry with a new key
    Given the water mesh runs
    And callers repeat unclear answers under a new key
    When the targets of billing slow down 2 times
    And 30 issue-fee a second arrive for 3 s
    And 2 calls run on target intake-1
    And node intake-1 is killed
    And all orders have their last answer
    Then no order ran twice
