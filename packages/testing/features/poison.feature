Feature: A poison request crashes only a bounded number of upstreams

  Scenario Outline: poison request at <step>: sent repeatedly through <instances>
    Given instances A and B
    And this scenario covers the fault "poison request" at the step "<step>"
    And a service with 4 upstreams that crash when they run it
    When a caller sends a poison payment 6 times through <instances>
    Then at most 2 upstreams have crashed
    And the caller gets outcome not run
    When a caller sends a payment
    Then the caller gets outcome answered
    And the request ran 1 time

    Examples:
      | step   | instances |
      | sent   | A         |
      | resent | A and B   |
