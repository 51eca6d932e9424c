Feature: The instance that handles a payment is killed

  The caller sends the payment through instance A and gets no answer. It resends the payment through instance B, and
  once more through B after everything that was held has resumed.

  Background:
    Given instances A and B

  Rule: A payment runs at most once, whatever happens to the instance that handles it

    Scenario Outline: instance killed at <step>: a payment with a <binding>
      Given this scenario covers the fault "instance killed" at the step "<step>"
      And a payment with a <binding> through instance A is held at the step "<step>"
      When instance A is killed
      And the caller resends the request through instance B
      Then the caller gets outcome <outcome>
      When the held requests resume
      And the caller resends the request through instance B
      Then the caller gets outcome <outcome>
      And the request ran <runs>

      Examples:
        | step                  | binding | outcome  | runs    |
        | addresses requested   | key     | answered | 1 time  |
        | ticket or claim taken | ticket  | unknown  | 0 times |
        | ticket or claim taken | key     | unknown  | 0 times |
        | queued                | ticket  | unknown  | 0 times |
        | queued                | key     | unknown  | 0 times |
        | connecting            | ticket  | unknown  | 0 times |
        | request half sent     | ticket  | unknown  | 0 times |
        | sent                  | ticket  | unknown  | 1 time  |
        | sent                  | key     | unknown  | 1 time  |
        | answer half received  | ticket  | unknown  | 1 time  |
        | answer half received  | key     | unknown  | 1 time  |
        | answer forwarded      | ticket  | unknown  | 1 time  |
        | resent                | ticket  | unknown  | 1 time  |
        | resent                | key     | unknown  | 1 time  |
