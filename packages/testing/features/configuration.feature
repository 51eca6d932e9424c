Feature: A configuration that was accepted never reverts

  Scenario: an instance that slept through a change wakes while the log is down, and both are replaced then
    Given instances A and B
    And a payment that instance A holds at "sent"
    When instance A is paused
    And a second upstream takes the place of the first one, as instance B hears
    And the log is down
    And instance A is back
    And what was held goes on
    And what is under way has ended
    Then every instance sends new work to the second upstream alone
    When instance B is replaced
    And instance A is replaced
    Then every instance sends new work to the second upstream alone
