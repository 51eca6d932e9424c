Feature: The instance that holds a payment is replaced at its address

  Instance A takes the payment first. Its caller learns nothing, sends it again through instance B, and once more
  when A is back.

  Background:
    Given instances A and B

  Rule: A payment runs at most once, whatever becomes of the instance that took it

    Scenario Outline: instance replaced at <step>: a payment with a <binding>, sent again to the same address
      Given the cell "instance replaced" at "<step>"
      And a payment with a <binding> that instance A holds at "<step>"
      When instance A is replaced
      And the caller sends it again through instance A
      Then the caller is told <told>
      When what was held goes on
      And the caller sends it again through instance B
      Then the caller is told <told>
      And it ran <runs>

      Examples:
        | step                  | binding | told     | runs    |
        | ticket or claim taken | ticket  | unknown  | 0 times |
        | ticket or claim taken | key     | unknown  | 0 times |
        | queued                | ticket  | unknown  | 0 times |
        | connecting            | ticket  | unknown  | 0 times |
        | request half sent     | ticket  | unknown  | 0 times |
        | sent                  | ticket  | unknown  | 1 time  |
        | sent                  | key     | unknown  | 1 time  |
        | answer half received  | ticket  | unknown  | 1 time  |
        | answer passed on      | ticket  | unknown  | 1 time  |
        | resent                | ticket  | unknown  | 1 time  |

    Scenario: instance replaced at address asked: a payment with a key, sent to the address that was told before
      Given the cell "instance replaced" at "address asked"
      And a payment with a key that instance A holds at "address asked"
      When instance A is replaced
      And the caller sends it again through instance A
      Then the caller is told answered
      And it ran 1 time
