Feature: The instance that handles a payment is replaced at the same address

  The caller sends the payment through instance A and gets no answer. It resends the payment to the same address, where
  a new instance runs, and then through instance B.

  Background:
    Given instances A and B

  Rule: A payment runs at most once, whatever happens to the instance that handles it

    Scenario Outline: instance replaced at <step>: a payment with a <binding>, resent to the same address
      Given this scenario covers the fault "instance replaced" at the step "<step>"
      And a payment with a <binding> through instance A is held at the step "<step>"
      When instance A is replaced
      And the caller resends the request through instance A
      Then the caller gets outcome <outcome>
      When the held requests resume
      And the caller resends the request through instance B
      Then the caller gets outcome <outcome>
      And the request ran <runs>

      Examples:
        | step                  | binding | outcome | runs    |
        | ticket or claim taken | ticket  | unknown | 0 times |
        | ticket or claim taken | key     | unknown | 0 times |
        | queued                | ticket  | unknown | 0 times |
        | connecting            | ticket  | unknown | 0 times |
        | request half sent     | ticket  | unknown | 0 times |
        | sent                  | ticket  | unknown | 1 time  |
        | sent                  | key     | unknown | 1 time  |
        | answer half received  | ticket  | unknown | 1 time  |
        | answer forwarded      | ticket  | unknown | 1 time  |
        | resent                | ticket  | unknown | 1 time  |

    Scenario: instance replaced at addresses requested: a payment with a key, sent to the address fetched before
      Given this scenario covers the fault "instance replaced" at the step "addresses requested"
      And a payment with a key through instance A is held at the step "addresses requested"
      When instance A is replaced
      And the caller sends the request through instance A
      Then the caller gets outcome answered
      And the request ran 1 time
