Feature: Must fail: a drain that is recorded but not carried out

  Scenario: drain is violated by a node that was not asked to drain
    Given the water mesh runs
    When 40 issue-fee a second arrive for 5 s
    And node billing-1 is reported as drained but not told to
    And all orders have their last answer
    Then no work reached billing-1 after 3 s of its drain
