Feature: P8 config

  Scenario: two operators change one resource at once
    Given the water mesh runs
    And the resources of the mesh are applied
    When two operators change the budget ratio at once
    Then one change is accepted and the other conflicts
    And the budget ratio in force is that of the accepted change
    When operators note the revision in force
    Then every node has that revision in force within seconds
    When the log service goes down
    And 30 issue-fee a second arrive for 2 s
    And all orders have their last answer
    Then every node still has that revision in force

  Scenario: two operators change one resource at once while append answers are lost
    Given the water mesh runs
    And the resources of the mesh are applied
    When the next 2 append answers are lost
    And two operators change the budget ratio at once
    Then one change is accepted and the other conflicts
    And the log holds the change 2 times at least
    And no append answer is left to lose
    And the budget ratio in force is that of the accepted change
    When operators note the revision in force
    Then every node has that revision in force within seconds

  Scenario: a change is refused during a log outage, and the one before it stays in force
    Given the cooperative mesh runs
    And the resources of the mesh are applied
    When an operator changes the budget ratio to 0.15
    Then the change is accepted
    When the log service goes down
    And 30 look-up-die a second arrive for 3 s
    And an operator changes the budget ratio to 0.25
    Then the change is refused because the log service is down
    And at least 60 answers are whole
    When the log service comes back
    Then the budget ratio in force is 0.15
    When operators note the revision in force
    Then every node has that revision in force within seconds
    When the next 1 append answers are lost
    And an operator changes the budget ratio to 0.35
    Then the change is accepted
    And the budget ratio in force is 0.35
    And no append answer is left to lose

  Scenario: a change is made while the log service is slow and a node is replaced
    Given the cooperative mesh runs
    And the resources of the mesh are applied
    And operators note the revision in force
    When the log service answers 0.3 s late
    And 30 look-up-die a second arrive for 3 s
    And an operator begins to change the budget ratio to 0.45
    And upstream regrind-1 is replaced
    Then the change is accepted
    And the budget ratio in force is 0.45
    And no answer is wrong
    When operators note the revision in force
    Then every node has that revision in force within seconds
