Feature: P5 at-most-once

  Scenario: a paused owner of idempotency keys resumes while callers retry
    Given the water mesh runs
    And callers repeat unclear answers with the same key
    When 30 issue-fee a second arrive for 5 s
    And 0.5 s pass
    And node intake-1 is paused
    And 2.8 s pass
    And node intake-1 is resumed
    And all orders have their last answer
    Then no order ran twice
    And callers asked again 1 times at least
    And no answer is wrong
    And no order that was said not to have run ran
    And at least 30 answers are whole

  Scenario: connections go silent and a target is replaced while it runs calls
    Given the cooperative mesh runs
    And callers repeat unclear answers with the same key
    And a relay stands before node regrind-1
    When the targets of returns slow down 5 times
    And 25 confirm-regrind a second arrive for 4 s
    And 1 s pass
    And the open connections to node regrind-1 go silent
    And 1 calls run on target returns-1
    And upstream returns-1 is replaced
    And all orders have their last answer
    Then no order ran twice
    And callers asked again 1 times at least
    And no order that was said not to have run ran
    And no answer is wrong
    And at least 20 answers are whole

  Scenario: answers to appends of claims are lost and the log service is slow
    Given the water mesh runs
    And callers repeat unclear answers with the same key
    When the log service answers 0.1 s late
    And the next 10 append answers are lost
    And 20 issue-fee a second arrive for 4 s
    And all orders have their last answer
    Then no order ran twice
    And no append answer is left to lose
    And no order that was said not to have run ran
    And at least 20 answers are whole
