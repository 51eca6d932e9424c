Feature: Faults of upstreams at each step of a request

  Rule: A payment, which is not idempotent, runs at most once and its caller is told the truth

    Scenario Outline: <fault> at <step>: a payment where upstreams <behaviour>
      Given the cell "<fault>" at "<step>"
      And callers that allow 2000 ms
      And a service with <upstreams> upstreams that <behaviour>
      When a caller sends a payment
      Then the caller is told <told>
      And it ran <runs>

      Examples: one upstream, so nothing can be tried elsewhere
        | fault            | step                 | upstreams | behaviour                                | told     | runs            |
        | upstream crash   | connecting           | 1         | refuse connections                       | not run  | 0 times         |
        | upstream crash   | request half sent    | 1         | close once half of the request is there  | unknown  | 0 times         |
        | upstream crash   | sent                 | 1         | run it and close without an answer       | unknown  | 1 time          |
        | upstream crash   | answer half received | 1         | answer half and close                    | unknown  | 1 time          |
        | upstream crash   | answer passed on     | 1         | answer and close                         | answered | 1 time          |
        | straggler        | request half sent    | 1         | stop reading half way                    | unknown  | 0 times         |
        | straggler        | sent                 | 1         | run it and never answer                  | unknown  | 1 time          |
        | straggler        | answer half received | 1         | answer half and stall                    | unknown  | 1 time          |
        | fail-fast        | connecting           | 1         | refuse connections                       | not run  | 0 times         |
        | fail-fast        | request half sent    | 1         | shed before the body is there            | not run  | 0 times         |
        | fail-fast        | sent                 | 1         | shed                                     | not run  | 0 times         |
        | fail-fast        | sent                 | 1         | fail at once                             | answered | 1 time          |
        | truncated answer | answer half received | 1         | answer half and close                    | unknown  | 1 time          |
        | truncated answer | answer half received | 1         | end a chunked answer early               | unknown  | 1 time          |
        | truncated answer | answer passed on     | 1         | break off a large answer                 | cut off  | 1 time          |
        | misleading health | connecting           | 1         | refuse connections                        | not run  | 0 times         |
        | misleading health | request half sent    | 1         | shed before the body is there            | not run  | 0 times         |
        | misleading health | sent                 | 1         | shed                                     | not run  | 0 times         |

      Examples: a healthy upstream beside it
        | fault            | step                 | upstreams | behaviour                                | told     | runs            |
        | upstream crash   | connecting           | 2         | refuse connections, all but one          | answered | 1 time          |
        | fail-fast        | sent                 | 2         | shed, all but one                        | answered | 1 time          |

    Scenario: straggler at connecting: a payment where the only upstream takes no connection
      Given the cell "straggler" at "connecting"
      And a service whose only upstream takes no connection
      When a caller sends a payment
      Then the caller is told not run
      And it ran 0 times

    Scenario Outline: <fault> at <step>: a payment that waits while the upstreams <behaviour>
      Given the cell "<fault>" at "<step>"
      And a payment that instance A holds at "queued"
      When the upstreams now <behaviour>
      And what was held goes on as it is
      And what is under way has ended
      Then the caller is told <told>
      And it ran <runs>

      Examples:
        | fault             | step   | behaviour          | told    | runs    |
        | upstream crash    | queued | refuse connections | not run | 0 times |
        | fail-fast         | queued | shed               | not run | 0 times |
        | misleading health | queued | shed               | not run | 0 times |

    Scenario: straggler at queued: a payment that waits past its deadline behind stragglers
      Given the cell "straggler" at "queued"
      And a payment that instance A holds at "queued"
      And callers that allow 300 ms
      When a caller sends a payment
      Then the caller is told not run
      And it ran 0 times

    Scenario Outline: <fault> at resent: a ticket sent again after the first send ended
      Given the cell "<fault>" at "resent"
      And callers that allow 2000 ms
      And a payment with a ticket that instance A holds at "address asked"
      And the upstreams now <behaviour>
      When the caller sends it again through instance A
      Then the caller is told <told>
      When the upstreams now answer
      And the caller sends it again through instance A
      Then the caller is told <told>
      And it ran 1 time

      Examples:
        | fault            | behaviour                          | told     |
        | straggler        | run it and never answer            | unknown  |
        | fail-fast        | fail at once                       | answered |
        | upstream crash   | run it and close without an answer | unknown  |
        | truncated answer | answer half and close              | unknown  |
