Feature: An upstream that leaves gets no new work, and nothing in flight is cut

  Background:
    Given instances A and B

  Scenario Outline: upstream drains at <step>: a <request>, <sign>
    Given the cell "upstream drains" at "<step>"
    And a <request> that instance A holds at "<step>"
    When a second upstream joins and the first one <sign>
    And what was held goes on
    And what is under way has ended
    Then the caller is told answered
    And it ran 1 time
    And every instance sends new work to the second upstream alone

    Examples:
      | step                 | request               | sign                       |
      | queued               | payment               | is drained by an operator  |
      | request half sent    | payment               | is drained by an operator  |
      | sent                 | payment               | is drained by an operator  |
      | sent                 | payment               | is listed as leaving       |
      | sent                 | payment               | leaves the inventory       |
      | answer half received | payment               | is drained by an operator  |
      | answer passed on     | payment               | leaves the inventory       |
      | resent               | payment with a ticket | is drained by an operator  |

  Scenario: upstream drains at connecting: its own mark on an answer
    Given the cell "upstream drains" at "connecting"
    And a payment that instance A holds at "sent"
    When a second upstream joins and the first one marks its answers
    And what was held goes on
    And what is under way has ended
    Then the caller is told answered
    And every instance sends new work to the second upstream alone
