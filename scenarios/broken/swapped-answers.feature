Feature: Must fail: answers that are swapped between callers

  Scenario: whole-answer is violated by a relay that swaps answers
    Given the water mesh runs
    And a relay stands before node intake-1
    And a relay stands before node intake-2
    When the relay before node intake-1 gives callers each other's answers
    And the relay before node intake-2 gives callers each other's answers
    And 30 issue-fee a second arrive for 2 s
    And all orders have their last answer
    Then no answer is wrong
