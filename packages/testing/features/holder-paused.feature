Feature: The instance that holds a payment is paused, and wakes

  Instance A takes the payment first. Its caller learns nothing, sends it again through instance B, and once more
  when A is back.

  Background:
    Given instances A and B

  Rule: A payment runs at most once, whatever becomes of the instance that took it

    Scenario Outline: holder paused at <step>, awake in time: a payment with a <binding>
      Given the cell "holder paused" at "<step>"
      And callers that allow 10000 ms
      And a payment with a <binding> that instance A holds at "<step>"
      When instance A is paused
      And the caller gives up
      And the caller sends it again through instance B, allowing <allowed> ms
      Then the caller is told <told>
      When instance A is back
      And what was held goes on
      And the caller sends it again through instance A, allowing 10000 ms
      Then the caller is told <finally>
      And it ran <runs>

      Examples:
        | step                  | binding | told     | finally  | runs    | allowed |
        | address asked         | key     | answered | answered | 1 time  | 300     |
        | ticket or claim taken | ticket  | unknown  | answered | 1 time  | 2000    |
        | queued                | ticket  | unknown  | answered | 1 time  | 300     |
        | request half sent     | ticket  | unknown  | answered | 1 time  | 300     |
        | sent                  | ticket  | unknown  | answered | 1 time  | 300     |
        | sent                  | key     | unknown  | answered | 1 time  | 300     |
        | answer half received  | ticket  | unknown  | answered | 1 time  | 300     |
        | answer half received  | key     | unknown  | answered | 1 time  | 300     |
        | resent                | ticket  | unknown  | answered | 1 time  | 300     |
        | resent                | key     | unknown  | answered | 1 time  | 300     |

    Scenario Outline: holder paused at <step>, awake after its claim and the deadline: a payment with a <binding>
      Given the cell "holder paused" at "<step>"
      And callers that allow 3000 ms
      And a payment with a <binding> that instance A holds at "<step>"
      When instance A is paused
      And the caller gives up
      And the caller sends it again through instance B
      Then the caller is told unknown
      When the deadline of the first send has passed
      And instance A is back
      And what was held goes on
      And the caller sends it again through instance A, allowing 10000 ms
      Then the caller is told <finally>
      And it ran <runs>

      Examples:
        | step                  | binding | finally  | runs    |
        | ticket or claim taken | ticket  | answered | 1 time  |
        | ticket or claim taken | key     | not run  | 0 times |
        | connecting            | ticket  | not run  | 0 times |

    Scenario Outline: holder paused at <step>, awake after the deadline, its answer later still: a payment with a <binding>
      Given the cell "holder paused" at "<step>"
      And callers that allow 3000 ms
      And a payment with a <binding> that instance A holds at "<step>"
      When instance A is paused
      And the caller gives up
      And the caller sends it again through instance B
      Then the caller is told unknown
      When the deadline of the first send has passed
      And instance A is back
      And the upstream sees its answer given up
      And what was held goes on
      And the caller sends it again through instance A, allowing 10000 ms
      Then the caller is told <finally>
      And it ran <runs>

      Examples:
        | step                  | binding | finally  | runs    |
        | sent                  | ticket  | unknown  | 1 time  |
        | sent                  | key     | unknown  | 1 time  |
        | answer half received  | ticket  | unknown  | 1 time  |
        | answer passed on      | ticket  | unknown  | 1 time  |
