Feature: Must fail: a drain that nobody carries out

  Scenario: drain is broken by a node that is not told to leave
    Given the water mesh runs
    When 40 issue-fee a second arrive for 5 s
    And node billing-1 is reported as drained but not told to
    And all orders have their last answer
    Then no work reached billing-1 after 3 s of its drain
