Feature: P7 graceful-stop

  Scenario: an entry node drains with calls in flight
    Given the water mesh runs
    When the targets of billing slow down 2 times
    And 30 issue-fee a second arrive for 3 s
    And 2 calls run on target intake-1
    And node intake-1 is drained
    And all orders have their last answer
    And node intake-1 has ended
    Then no call was cut by the planned stop of intake-1
    And no order ran twice
    And at least 0.90 of the issue-fee in phase load are whole

  Scenario: a slow deep node drains and starts again while the log service is down
    Given the cooperative mesh runs
    When the targets of returns slow down 3 times
    And the log service answers 2 s late
    And 25 confirm-regrind a second arrive for 5 s
    And 2 calls run on target returns-1
    And the log service goes down
    And node returns-1 is drained
    And 1.5 s pass
    And the log service comes back
    And node returns-1 has ended
    And upstream returns-1 starts again
    And all orders have their last answer
    Then no call was cut by the planned stop of returns-1
    And no order ran twice
    And no answer is wrong

  Scenario: the platform stops a middle node during a surge
    Given the water mesh runs
    When the usual mix arrives at 1.2 times the usual rate for 4 s in phase surge
    And the targets of billing slow down 2 times
    And 2 calls run on target inspections-1
    And node inspections-1 receives SIGTERM
    And all orders have their last answer
    And node inspections-1 has ended
    Then no call was cut by the planned stop of inspections-1
    And no work reached inspections-1 after 3 s of its drain
    And no order ran twice
