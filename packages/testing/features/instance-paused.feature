Feature: The instance that handles a payment is paused and resumed

  The caller sends the payment through instance A and closes its connection before an answer arrives. It resends the
  payment through instance B, and through instance A after A is resumed.

  Background:
    Given instances A and B

  Rule: A payment runs at most once, whatever happens to the instance that handles it

    Scenario Outline: instance paused at <step>, resumed before the deadline: a payment with a <binding>
      Given this scenario covers the fault "instance paused" at the step "<step>"
      And callers set a deadline of 10000 ms
      And a payment with a <binding> through instance A is held at the step "<step>"
      When instance A is paused
      And the caller closes its connections
      And the caller resends the request through instance B with a deadline of <deadline> ms
      Then the caller gets outcome <outcome>
      When instance A is resumed
      And the held requests resume
      And the caller resends the request through instance A with a deadline of 10000 ms
      Then the caller gets outcome <final outcome>
      And the request ran <runs>

      Examples:
        | step                  | binding | outcome  | final outcome | runs   | deadline |
        | addresses requested   | key     | answered | answered      | 1 time | 300      |
        | ticket or claim taken | ticket  | unknown  | answered      | 1 time | 2000     |
        | queued                | ticket  | unknown  | answered      | 1 time | 300      |
        | request half sent     | ticket  | unknown  | answered      | 1 time | 300      |
        | sent                  | ticket  | unknown  | answered      | 1 time | 300      |
        | sent                  | key     | unknown  | answered      | 1 time | 300      |
        | answer half received  | ticket  | unknown  | answered      | 1 time | 300      |
        | answer half received  | key     | unknown  | answered      | 1 time | 300      |
        | resent                | ticket  | unknown  | answered      | 1 time | 300      |
        | resent                | key     | unknown  | answered      | 1 time | 300      |

    Scenario Outline: instance paused at <step>, resumed after the deadline: a payment with a <binding>
      Given this scenario covers the fault "instance paused" at the step "<step>"
      And callers set a deadline of 3000 ms
      And a payment with a <binding> through instance A is held at the step "<step>"
      When instance A is paused
      And the caller closes its connections
      And the caller resends the request through instance B
      Then the caller gets outcome unknown
      When the deadline of the first attempt has passed
      And instance A is resumed
      And the held requests resume
      And the caller resends the request through instance A with a deadline of 10000 ms
      Then the caller gets outcome <final outcome>
      And the request ran <runs>

      Examples:
        | step                  | binding | final outcome | runs    |
        | ticket or claim taken | ticket  | answered      | 1 time  |
        | ticket or claim taken | key     | not run       | 0 times |
        | connecting            | ticket  | not run       | 0 times |

    Scenario Outline: instance paused at <step>, resumed after the deadline and before the answer: a payment with a <binding>
      Given this scenario covers the fault "instance paused" at the step "<step>"
      And callers set a deadline of 3000 ms
      And a payment with a <binding> through instance A is held at the step "<step>"
      When instance A is paused
      And the caller closes its connections
      And the caller resends the request through instance B
      Then the caller gets outcome unknown
      When the deadline of the first attempt has passed
      And instance A is resumed
      And the upstream sees the connection close before its answer ends
      And the held requests resume
      And the caller resends the request through instance A with a deadline of 10000 ms
      Then the caller gets outcome <final outcome>
      And the request ran <runs>

      Examples:
        | step                 | binding | final outcome | runs   |
        | sent                 | ticket  | unknown       | 1 time |
        | sent                 | key     | unknown       | 1 time |
        | answer half received | ticket  | unknown       | 1 time |
        | answer forwarded     | ticket  | unknown       | 1 time |
