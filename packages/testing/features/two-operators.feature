Feature: Two operators change the configuration concurrently

  Background:
    Given instances A and B

  Scenario Outline: two operators at <step>: a <request> in progress
    Given this scenario covers the fault "two operators" at the step "<step>"
    And a <request> through instance A is held at the step "<step>"
    When two operators move the service to different upstreams at the same time
    Then one change is accepted and the other is rejected as a conflict
    When the held requests resume
    And all open requests have ended
    Then the caller gets outcome <outcome>
    And the request ran <runs>
    And every instance sends new requests only to the upstream of the accepted change

    Examples:
      | step                 | request               | outcome  | runs    |
      | queued               | payment               | answered | 1 time  |
      | connecting           | payment               | not run  | 0 times |
      | request half sent    | payment               | answered | 1 time  |
      | sent                 | payment               | answered | 1 time  |
      | answer half received | payment               | answered | 1 time  |
      | answer forwarded     | payment               | answered | 1 time  |
      | resent               | payment with a ticket | answered | 1 time  |

  Scenario Outline: two operators at <step>: a <request> sent afterwards follows the accepted change
    Given this scenario covers the fault "two operators" at the step "<step>"
    And a <request> through instance A is held at the step "<step>"
    When two operators move the service to different upstreams at the same time
    Then one change is accepted and the other is rejected as a conflict
    When the caller resends the request through instance A
    Then the caller gets outcome answered
    And the request ran 1 time
    And every instance sends new requests only to the upstream of the accepted change

    Examples:
      | step                  | request               |
      | addresses requested   | payment               |
      | ticket or claim taken | payment with a ticket |
