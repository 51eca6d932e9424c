Feature: Faults of upstreams at each step of a request

  Rule: A payment, which is not idempotent, runs at most once and its caller gets a correct outcome

    Scenario Outline: <fault> at <step>: a payment where upstreams <behaviour>
      Given this scenario covers the fault "<fault>" at the step "<step>"
      And callers set a deadline of 2000 ms
      And a service with <upstreams> upstreams that <behaviour>
      When a caller sends a payment
      Then the caller gets outcome <outcome>
      And the request ran <runs>

      Examples: a single upstream, so a retry has no other upstream
        | fault             | step                 | upstreams | behaviour                              | outcome  | runs    |
        | upstream crash    | connecting           | 1         | refuse connections                     | not run  | 0 times |
        | upstream crash    | request half sent    | 1         | close after half of the request        | unknown  | 0 times |
        | upstream crash    | sent                 | 1         | run it and close without an answer     | unknown  | 1 time  |
        | upstream crash    | answer half received | 1         | send half of the answer and close      | unknown  | 1 time  |
        | upstream crash    | answer forwarded     | 1         | answer and close                       | answered | 1 time  |
        | straggler         | request half sent    | 1         | stop reading after half of the request | unknown  | 0 times |
        | straggler         | sent                 | 1         | run it and never answer                | unknown  | 1 time  |
        | straggler         | answer half received | 1         | send half of the answer and stall      | unknown  | 1 time  |
        | fail-fast         | connecting           | 1         | refuse connections                     | not run  | 0 times |
        | fail-fast         | request half sent    | 1         | shed before the body arrives           | not run  | 0 times |
        | fail-fast         | sent                 | 1         | shed                                   | not run  | 0 times |
        | fail-fast         | sent                 | 1         | fail immediately                       | answered | 1 time  |
        | truncated answer  | answer half received | 1         | send half of the answer and close      | unknown  | 1 time  |
        | truncated answer  | answer half received | 1         | end a chunked answer early             | unknown  | 1 time  |
        | truncated answer  | answer forwarded     | 1         | abort a large answer                   | cut off  | 1 time  |
        | misleading health | connecting           | 1         | refuse connections                     | not run  | 0 times |
        | misleading health | request half sent    | 1         | shed before the body arrives           | not run  | 0 times |
        | misleading health | sent                 | 1         | shed                                   | not run  | 0 times |

      Examples: a healthy upstream besides the faulty one
        | fault          | step       | upstreams | behaviour                       | outcome  | runs   |
        | upstream crash | connecting | 2         | refuse connections, all but one | answered | 1 time |
        | fail-fast      | sent       | 2         | shed, all but one               | answered | 1 time |

    Scenario: straggler at connecting: a payment to a service whose only upstream never accepts a connection
      Given this scenario covers the fault "straggler" at the step "connecting"
      And a service whose only upstream never accepts a connection
      When a caller sends a payment
      Then the caller gets outcome not run
      And the request ran 0 times

    Scenario Outline: <fault> at <step>: a payment that is queued when the upstreams <behaviour>
      Given this scenario covers the fault "<fault>" at the step "<step>"
      And a payment through instance A is held at the step "queued"
      When the upstreams now <behaviour>
      And the held requests resume with the upstreams unchanged
      And all open requests have ended
      Then the caller gets outcome <outcome>
      And the request ran <runs>

      Examples:
        | fault             | step   | behaviour          | outcome | runs    |
        | upstream crash    | queued | refuse connections | not run | 0 times |
        | fail-fast         | queued | shed               | not run | 0 times |
        | misleading health | queued | shed               | not run | 0 times |

    Scenario: straggler at queued: a payment that stays queued behind stragglers until its deadline
      Given this scenario covers the fault "straggler" at the step "queued"
      And a payment through instance A is held at the step "queued"
      And callers set a deadline of 300 ms
      When a caller sends a payment
      Then the caller gets outcome not run
      And the request ran 0 times

    Scenario Outline: <fault> at resent: a payment with a ticket, resent after the first attempt ended
      Given this scenario covers the fault "<fault>" at the step "resent"
      And callers set a deadline of 2000 ms
      And a payment with a ticket through instance A is held at the step "addresses requested"
      And the upstreams now <behaviour>
      When the caller sends the request through instance A
      Then the caller gets outcome <outcome>
      When the upstreams now answer
      And the caller resends the request through instance A
      Then the caller gets outcome <outcome>
      And the request ran 1 time

      Examples:
        | fault            | behaviour                          | outcome  |
        | straggler        | run it and never answer            | unknown  |
        | fail-fast        | fail immediately                   | answered |
        | upstream crash   | run it and close without an answer | unknown  |
        | truncated answer | send half of the answer and close  | unknown  |
