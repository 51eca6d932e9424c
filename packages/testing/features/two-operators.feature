Feature: Two operators change the configuration at the same moment

  Background:
    Given instances A and B

  Scenario Outline: two operators at <step>: a <request> under way
    Given the cell "two operators" at "<step>"
    And a <request> that instance A holds at "<step>"
    When two operators move the service to different upstreams at the same moment
    Then one change is accepted, and the other one is told of the conflict
    When what was held goes on
    And what is under way has ended
    Then the caller is told <told>
    And it ran <runs>
    And every instance sends new work to the upstream of the accepted change alone

    Examples:
      | step                  | request               | told     | runs    |
      | queued                | payment               | answered | 1 time  |
      | connecting            | payment               | not run  | 0 times |
      | request half sent     | payment               | answered | 1 time  |
      | sent                  | payment               | answered | 1 time  |
      | answer half received  | payment               | answered | 1 time  |
      | answer passed on      | payment               | answered | 1 time  |
      | resent                | payment with a ticket | answered | 1 time  |

  Scenario Outline: two operators at <step>: a <request> that is sent then follows the accepted change
    Given the cell "two operators" at "<step>"
    And a <request> that instance A holds at "<step>"
    When two operators move the service to different upstreams at the same moment
    Then one change is accepted, and the other one is told of the conflict
    When the caller sends it again through instance A
    Then the caller is told answered
    And it ran 1 time
    And every instance sends new work to the upstream of the accepted change alone

    Examples:
      | step                  | request               |
      | address asked         | payment               |
      | ticket or claim taken | payment with a ticket |
