Feature: P2 important-last

  # register-application alone arrives 36 times a second. The slowed billing service has
  # a capacity of 66 calls a second.
  Scenario: the deep service slows down while demand surges and callers retry
    Given the water mesh runs
    When the targets of billing slow down 3 times
    And the usual mix arrives at 1.6 times the usual rate for 5 s in phase surge
    And all orders have their last answer
    Then at least 0.99 of the register-application in phase surge are whole
    And in phase surge register-application is answered whole at least as often as issue-fee
    And in phase surge issue-fee is answered whole at least as often as status-inquiry
    And in phase surge status-inquiry is refused 50 times at least
    And no order that was said not to have run ran

  # log-return alone arrives 23 times a second. The slowed returns service has a
  # capacity of 80 calls a second.
  Scenario: the deep service slows down during a surge and a log outage
    Given the cooperative mesh runs
    When the log service goes down
    And the targets of returns slow down 2.5 times
    And the usual mix arrives at 1.3 times the usual rate for 5 s in phase surge
    And all orders have their last answer
    Then at least 0.99 of the log-return in phase surge are whole
    And in phase surge log-return is answered whole at least as often as confirm-regrind
    And in phase surge confirm-regrind is answered whole at least as often as look-up-die
    And in phase surge look-up-die is refused 20 times at least
    And no answer is wrong
