Feature: Faults of upstreams at each step of a request

  Rule: A payment, which is not idempotent, runs at most once and its caller is told the truth

    Scenario Outline: <fault> at <step>: a payment where upstreams <behaviour>
      Given the cell "<fault>" at "<step>"
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
        | misleading health| connecting           | 1         | refuse connections                        | not run  | 0 times         |

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
