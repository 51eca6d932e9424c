Feature: A graceful shutdown interrupts no request

  Background:
    Given instances A and B

  Scenario Outline: instance shut down at <step>: a <request>
    Given this scenario covers the fault "instance shut down" at the step "<step>"
    And a <request> through instance A is held at the step "<step>"
    When instance A is asked to shut down
    And the held requests resume
    And all open requests have ended
    Then the caller gets outcome <outcome>
    And instance A exits with code 0
    And the request ran <runs>

    Examples:
      | step                  | request               | outcome  | runs    |
      | ticket or claim taken | payment with a key    | answered | 1 time  |
      | queued                | payment with a ticket | answered | 1 time  |
      | connecting            | payment               | not run  | 0 times |
      | request half sent     | payment               | answered | 1 time  |
      | request half sent     | payment with a ticket | answered | 1 time  |
      | sent                  | payment               | answered | 1 time  |
      | sent                  | payment with a ticket | answered | 1 time  |
      | sent                  | payment with a key    | answered | 1 time  |
      | answer half received  | payment               | answered | 1 time  |
      | answer forwarded      | payment               | answered | 1 time  |
      | resent                | payment with a ticket | answered | 1 time  |

  Scenario Outline: instance shut down at <step>: sent to the address fetched before, a <request>
    Given this scenario covers the fault "instance shut down" at the step "<step>"
    And a <request> through instance A is held at the step "<step>"
    When instance A is asked to shut down
    And the caller resends the request through instance A
    Then the caller gets outcome answered
    And instance A exits with code 0
    And the request ran 1 time

    Examples:
      | step                  | request               |
      | addresses requested   | payment               |
      | ticket or claim taken | payment with a ticket |
