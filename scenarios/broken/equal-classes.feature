Feature: Must fail: classes of equal importance

  Scenario: important-last is violated by a mesh without priorities
    Given the water mesh runs with all classes equally important
    When the targets of billing slow down 3 times
    And the usual mix arrives at 1.6 times the usual rate for 4 s in phase surge
    And all orders have their last answer
    Then at least 0.99 of the register-application in phase surge are whole
