Feature: Must fail: refusals that falsely say that nothing ran

  Scenario: not-run-is-true is violated by a relay that denies runs
    Given the water mesh runs
    And a relay stands before node intake-1
    And a relay stands before node intake-2
    When the relay before node intake-1 tells callers that nothing ran
    And the relay before node intake-2 tells callers that nothing ran
    And 30 issue-fee a second arrive for 2 s
    And all orders have their last answer
    Then no order that was said not to have run ran
