Feature: Must fail: operators who overwrite each other

  Scenario: config is violated by changes without an expected revision
    Given the water mesh runs
    And the resources of the mesh are applied
    When two operators change the budget ratio without the revision that they saw
    Then one change is accepted and the other conflicts
