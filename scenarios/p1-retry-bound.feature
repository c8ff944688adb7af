Feature: P1 retry-bound

  Scenario: targets on several hops shed while only the allowance limits retries
    Given the water mesh runs with 3 retries a request and no retry budget
    When target billing-1 sheds 0.6 of its calls
    And target billing-2 sheds 0.6 of its calls
    And target inspections-1 sheds 0.4 of its calls
    And target inspections-2 sheds 0.4 of its calls
    And 40 status-inquiry a second arrive for 4 s
    And all orders have their last answer
    Then no request caused more than 3 retries
    And some request caused 3 retries
    And at least 20 answers are whole
    And no answer is wrong

  Scenario: the deep service slows down during a surge while a target is killed
    Given the water mesh runs with 3 retries a request and no retry budget
    When the targets of billing slow down 3 times
    And the usual mix arrives at 1.6 times the usual rate for 4 s in phase surge
    And 1 s pass
    And target billing-1 is killed
    And target inspections-1 sheds 0.5 of its calls
    And all orders have their last answer
    Then no request caused more than 3 retries
    And some request caused 1 retries
    And no order ran twice
    And no order that was said not to have run ran
