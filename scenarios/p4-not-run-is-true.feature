Feature: P4 not-run-is-true

  Scenario: a surge on a slow deep service is refused
    Given the cooperative mesh runs
    When the targets of returns slow down 4 times
    And the usual mix arrives at 2 times the usual rate for 4 s in phase surge
    And all orders have their last answer
    Then at least 50 orders are refused as not run
    And no order that was said not to have run ran
    And at least 50 answers are overloaded
    And no answer is internal
    And no answer is wrong

  Scenario: a node is paused beyond the deadlines of its calls while another is killed
    Given the water mesh runs
    When the targets of billing slow down 3 times
    And the usual mix arrives at 1.5 times the usual rate for 5 s in phase surge
    And 0.5 s pass
    And node billing-1 is paused
    And node inspections-1 is killed
    And 2.5 s pass
    And node billing-1 is resumed
    And all orders have their last answer
    Then at least 50 orders are refused as not run
    And no order that was said not to have run ran
    And no order ran twice
    And at least 50 answers are whole
