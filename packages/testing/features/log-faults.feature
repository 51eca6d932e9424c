Feature: The platform log fails at each step of a payment

  Background:
    Given instances A and B

  Scenario Outline: <fault> at <step>: a <request> in progress
    Given this scenario covers the fault "<fault>" at the step "<step>"
    And a <request> through instance A is held at the step "<step>"
    When the log <event>
    And the held requests resume
    And all open requests have ended
    Then the caller gets outcome <outcome>
    And the request ran <runs>

    Examples:
      | fault    | step                  | request               | event   | outcome  | runs    |
      | log down | ticket or claim taken | payment with a key    | is down | not run  | 0 times |
      | log down | connecting            | payment               | is down | not run  | 0 times |
      | log down | queued                | payment with a key    | is down | answered | 1 time  |
      | log down | request half sent     | payment with a ticket | is down | answered | 1 time  |
      | log down | request half sent     | payment with a key    | is down | not run  | 0 times |
      | log down | sent                  | payment with a ticket | is down | answered | 1 time  |
      | log down | sent                  | payment with a key    | is down | answered | 1 time  |
      | log down | answer half received  | payment with a key    | is down | answered | 1 time  |
      | log down | answer forwarded      | payment with a key    | is down | answered | 1 time  |
      | log down | resent                | payment with a key    | is down | answered | 1 time  |
      | log slow | ticket or claim taken | payment with a key    | is slow | answered | 1 time  |
      | log slow | queued                | payment with a key    | is slow | answered | 1 time  |
      | log slow | connecting            | payment               | is slow | not run  | 0 times |
      | log slow | request half sent     | payment with a key    | is slow | answered | 1 time  |
      | log slow | sent                  | payment with a key    | is slow | answered | 1 time  |
      | log slow | answer half received  | payment with a key    | is slow | answered | 1 time  |
      | log slow | answer forwarded      | payment with a key    | is slow | answered | 1 time  |
      | log slow | resent                | payment with a key    | is slow | answered | 1 time  |

  Scenario Outline: <fault> at <step>: a <request> sent afterwards
    Given this scenario covers the fault "<fault>" at the step "<step>"
    And a <request> through instance A is held at the step "addresses requested"
    When the log <event>
    And the caller sends the request through instance A
    Then the caller gets outcome <outcome>
    And the request ran <runs>

    Examples:
      | fault                | step                  | request               | event                          | outcome  | runs    |
      | log down             | addresses requested   | payment with a ticket | is down                        | answered | 1 time  |
      | log down             | ticket or claim taken | payment with a key    | is down                        | not run  | 0 times |
      | log slow             | addresses requested   | payment with a ticket | is slow                        | answered | 1 time  |
      | log slow             | ticket or claim taken | payment with a key    | is slow                        | answered | 1 time  |
      | acknowledgement lost | ticket or claim taken | payment with a key    | loses the next acknowledgement | answered | 1 time  |

  Scenario: log down at resent: a payment with a key that ran, resent to an instance that never received its claim
    Given this scenario covers the fault "log down" at the step "resent"
    And a payment with a key through instance A is held at the step "sent"
    When the held requests resume
    And all open requests have ended
    Then the caller gets outcome answered
    When the log is down
    And instance B is replaced
    And the caller resends the request through instance B
    Then the caller gets outcome unknown
    And the request ran 1 time

  Scenario: acknowledgement lost at resent: a payment with a key whose claim was not acknowledged, resent through another instance
    Given this scenario covers the fault "acknowledgement lost" at the step "resent"
    And a payment with a key through instance A is held at the step "addresses requested"
    When the log loses the next acknowledgement
    And the caller sends the request through instance A
    Then the caller gets outcome answered
    When the caller resends the request through instance B
    Then the caller gets outcome answered
    And the request ran 1 time
