Feature: Every caller gets the whole answer to its own request

  Background:
    Given instances A and B

  Scenario Outline: reordered answers at <step>: three <request>s answered in reverse
    Given the cell "reordered answers" at "<step>"
    And a service with 1 upstream that <behaviour>
    When 3 callers have each sent a <request> through instances <through>
    And the upstream goes on in reverse order
    And what is under way has ended
    Then each caller is told answered
    And each ran 1 time

    Examples:
      | step                 | behaviour                      | request               | through |
      | sent                 | run it and wait                | payment               | A       |
      | sent                 | wait before running it         | payment               | A and B |
      | answer half received | answer half and wait           | payment               | A and B |
      | answer passed on     | send a large answer in two halves | payment            | A       |
      | resent               | run it and wait                | payment with a ticket | A and A |

  Scenario Outline: late answer at <step>: the next caller gets its own answer
    Given the cell "late answer" at "<step>"
    And callers that allow 500 ms
    And a service with 1 upstream that <behaviour>
    When a caller sends a payment
    Then the caller is told <told>
    When what was held goes on
    And the upstreams now answer
    And callers that allow 10000 ms
    And a caller sends a payment
    Then the caller is told answered
    And it ran 1 time

    Examples:
      | step                 | behaviour              | told    |
      | sent                 | run it and wait        | unknown |
      | sent                 | wait before running it | unknown |
      | answer half received | answer half and wait   | unknown |

  Scenario: late answer at resent: a ticket whose answer came after the deadline is not run again
    Given the cell "late answer" at "resent"
    And callers that allow 500 ms
    And a payment with a ticket that instance A holds at "sent"
    When what is under way has ended
    Then the caller is told unknown
    When what was held goes on
    And the caller sends it again through instance B
    Then the caller is told unknown
    And it ran 1 time

  Scenario: late answer at answer passed on: the second half comes after the deadline
    Given the cell "late answer" at "answer passed on"
    And callers that allow 2000 ms
    And a payment that instance A holds at "answer passed on"
    When the upstream sees its answer given up
    And what was held goes on
    And what is under way has ended
    Then the caller is told cut off
    And it ran 1 time
