Feature: Each caller gets the complete answer to its own request

  Background:
    Given instances A and B

  Scenario Outline: reordered answers at <step>: three <request>s answered in reverse order
    Given this scenario covers the fault "reordered answers" at the step "<step>"
    And a service with 1 upstream that <behaviour>
    When 3 callers have each sent a <request> through instances <through>
    And the upstream resumes the held requests in reverse order
    And all open requests have ended
    Then each caller gets outcome answered
    And each request ran 1 time

    Examples:
      | step                 | behaviour                         | request               | through |
      | sent                 | run it and wait                   | payment               | A       |
      | sent                 | wait before running it            | payment               | A and B |
      | answer half received | send half of the answer and wait  | payment               | A and B |
      | answer forwarded     | send a large answer in two halves | payment               | A       |
      | resent               | run it and wait                   | payment with a ticket | A and A |

  Scenario Outline: late answer at <step>: the next caller gets its own answer
    Given this scenario covers the fault "late answer" at the step "<step>"
    And callers set a deadline of 500 ms
    And a service with 1 upstream that <behaviour>
    When a caller sends a payment
    Then the caller gets outcome <outcome>
    When the held requests resume
    And the upstreams now answer
    And callers set a deadline of 10000 ms
    And a caller sends a payment
    Then the caller gets outcome answered
    And the request ran 1 time

    Examples:
      | step                 | behaviour                        | outcome |
      | sent                 | run it and wait                  | unknown |
      | sent                 | wait before running it           | unknown |
      | answer half received | send half of the answer and wait | unknown |

  Scenario: late answer at resent: a payment with a ticket whose answer arrived after the deadline does not run again
    Given this scenario covers the fault "late answer" at the step "resent"
    And callers set a deadline of 500 ms
    And a payment with a ticket through instance A is held at the step "sent"
    When all open requests have ended
    Then the caller gets outcome unknown
    When the held requests resume
    And the caller resends the request through instance B
    Then the caller gets outcome unknown
    And the request ran 1 time

  Scenario: late answer at answer forwarded: the second half arrives after the deadline
    Given this scenario covers the fault "late answer" at the step "answer forwarded"
    And callers set a deadline of 2000 ms
    And a payment through instance A is held at the step "answer forwarded"
    When the upstream sees the connection close before its answer ends
    And the held requests resume
    And all open requests have ended
    Then the caller gets outcome cut off
    And the request ran 1 time
