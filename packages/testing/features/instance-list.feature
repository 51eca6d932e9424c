Feature: The platform's list of instances lags

  Background:
    Given instances A and B

  Scenario: instance list lagging at address asked: a killed instance that the list still shows is not offered
    Given the cell "instance list lagging" at "address asked"
    And a service with 1 upstream that answers
    And the instance list lags
    When instance A is killed
    Then instance B soon offers instance B alone

  Scenario: instance list lagging at connecting: a kept address of a killed instance
    Given the cell "instance list lagging" at "connecting"
    And a payment with a key that instance A holds at "address asked"
    And the instance list lags
    When instance A is killed
    And the caller sends it again through instance A
    Then the caller is told no answer
    When the caller sends it again through instance B
    Then the caller is told answered
    And it ran 1 time

  Scenario: instance list lagging at resent: a ticket of a killed instance that the list still shows
    Given the cell "instance list lagging" at "resent"
    And a payment with a ticket that instance A holds at "sent"
    And the instance list lags
    When instance A is killed
    And the caller sends it again through instance B
    Then the caller is told unknown
    And what was held goes on
    And it ran 1 time

  Scenario: instance list lagging at queued: the list is away while a payment waits
    Given the cell "instance list lagging" at "queued"
    And a payment with a ticket that instance A holds at "queued"
    And the instance list is away
    When what was held goes on
    And what is under way has ended
    Then the caller is told answered
    And it ran 1 time
