Feature: A request that crashes each upstream that runs it

  Scenario Outline: poison request at <step>: sent again and again through <instances>
    Given instances A and B
    And the cell "poison request" at "<step>"
    And a service with 4 upstreams that crash when they run it
    When a caller sends a poison payment 6 times through <instances>
    Then at most 2 upstreams have crashed
    And the caller is told not run
    When a caller sends a payment
    Then the caller is told answered
    And it ran 1 time

    Examples:
      | step   | instances |
      | sent   | A         |
      | resent | A and B   |
