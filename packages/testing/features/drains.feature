Feature: A leaving upstream gets no new requests, and requests in flight complete

  Background:
    Given instances A and B

  Scenario Outline: upstream drains at <step>: a <request>, <signal>
    Given this scenario covers the fault "upstream drains" at the step "<step>"
    And a <request> through instance A is held at the step "<step>"
    When a second upstream joins and the first one <signal>
    And the held requests resume
    And all open requests have ended
    Then the caller gets outcome answered
    And the request ran 1 time
    And every instance sends new requests only to the second upstream

    Examples:
      | step                 | request               | signal                        |
      | queued               | payment               | is drained by an operator     |
      | request half sent    | payment               | is drained by an operator     |
      | sent                 | payment               | is drained by an operator     |
      | sent                 | payment               | is listed as leaving          |
      | sent                 | payment               | is removed from the inventory |
      | answer half received | payment               | is drained by an operator     |
      | answer forwarded     | payment               | is removed from the inventory |
      | resent               | payment with a ticket | is drained by an operator     |

  Scenario: upstream drains at connecting: announced by its draining header
    Given this scenario covers the fault "upstream drains" at the step "connecting"
    And a payment through instance A is held at the step "sent"
    When a second upstream joins and the first one sets the draining header
    And the held requests resume
    And all open requests have ended
    Then the caller gets outcome answered
    And every instance sends new requests only to the second upstream
