Feature: Must fail: a retry allowance above the bound

  Scenario: retry-bound is violated by a retry allowance of 16
    Given the water mesh runs with 16 retries a request and no retry budget
    When target billing-1 sheds 1 of its calls
    And target billing-2 sheds 1 of its calls
    And 20 status-inquiry a second arrive for 2 s
    And all orders have their last answer
    Then no request caused more than 3 retries
