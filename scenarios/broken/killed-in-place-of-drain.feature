Feature: Must fail: a planned stop that is not graceful

  Scenario: graceful-stop is violated by killing the target
    Given the water mesh runs
    When the targets of billing slow down 3 times
    And 40 issue-fee a second arrive for 2 s
    And 2 calls run on target billing-1
    And target billing-1 is killed in place of a drain
    And all orders have their last answer
    Then no call was cut by the planned stop of billing-1
