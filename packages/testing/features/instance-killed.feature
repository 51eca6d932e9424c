Feature: The instance that holds a payment is killed

  Instance A takes the payment first. Its caller learns nothing, sends it again through instance B, and once more
  when A is back.

  Background:
    Given instances A and B

  Rule: A payment runs at most once, whatever becomes of the instance that took it

    Scenario Outline: instance killed at <step>: a payment with a <binding>
      Given the cell "instance killed" at "<step>"
      And a payment with a <binding> that instance A holds at "<step>"
      When instance A is killed
      And the caller sends it again through instance B
      Then the caller is told <told>
      When what was held goes on
      And the caller sends it again through instance B
      Then the caller is told <told>
      And it ran <runs>

      Examples:
        | step                  | binding | told     | runs    |
        | address asked         | key     | answered | 1 time  |
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
        | answer passed on      | ticket  | unknown  | 1 time  |
        | resent                | ticket  | unknown  | 1 time  |
        | resent                | key     | unknown  | 1 time  |
