Feature: Planned stops cut nothing

  Background:
    Given instances A and B

  Scenario Outline: instance stopped by plan at <step>: a <request>
    Given the cell "instance stopped by plan" at "<step>"
    And a <request> that instance A holds at "<step>"
    When instance A is told to stop
    And what was held goes on
    And what is under way has ended
    Then the caller is told <told>
    And instance A ends by itself with code 0
    And it ran <runs>

    Examples:
      | step                  | request               | told     | runs    |
      | ticket or claim taken | payment with a key    | answered | 1 time  |
      | queued                | payment with a ticket | answered | 1 time  |
      | connecting            | payment               | not run  | 0 times |
      | request half sent     | payment               | answered | 1 time  |
      | request half sent     | payment with a ticket | answered | 1 time  |
      | sent                  | payment               | answered | 1 time  |
      | sent                  | payment with a ticket | answered | 1 time  |
      | sent                  | payment with a key    | answered | 1 time  |
      | answer half received  | payment               | answered | 1 time  |
      | answer passed on      | payment               | answered | 1 time  |
      | resent                | payment with a ticket | answered | 1 time  |

  Scenario Outline: instance stopped by plan at <step>: sent to the address that was told before, a <request>
    Given the cell "instance stopped by plan" at "<step>"
    And a <request> that instance A holds at "<step>"
    When instance A is told to stop
    And the caller sends it again through instance A
    Then the caller is told answered
    And instance A ends by itself with code 0
    And it ran 1 time

    Examples:
      | step                  | request               |
      | address asked         | payment               |
      | ticket or claim taken | payment with a ticket |
