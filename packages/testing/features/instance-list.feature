Feature: The instance list of the platform is stale or unavailable

  Background:
    Given instances A and B

  Scenario: instance list lagging at addresses requested: a killed instance that is still in the list is not offered to callers
    Given this scenario covers the fault "instance list lagging" at the step "addresses requested"
    And a service with 1 upstream that answers
    And the instance list lags
    When instance A is killed
    Then instance B eventually lists only instance B

  Scenario: instance list lagging at connecting: a request to the cached address of a killed instance
    Given this scenario covers the fault "instance list lagging" at the step "connecting"
    And a payment with a key through instance A is held at the step "addresses requested"
    And the instance list lags
    When instance A is killed
    And the caller sends the request through instance A
    Then the caller gets outcome no answer
    When the caller resends the request through instance B
    Then the caller gets outcome answered
    And the request ran 1 time

  Scenario: instance list lagging at resent: a ticket from a killed instance that is still in the list
    Given this scenario covers the fault "instance list lagging" at the step "resent"
    And a payment with a ticket through instance A is held at the step "sent"
    And the instance list lags
    When instance A is killed
    And the caller resends the request through instance B
    Then the caller gets outcome unknown
    And the held requests resume
    And the request ran 1 time

  Scenario: instance list lagging at queued: the list is unavailable while a payment is queued
    Given this scenario covers the fault "instance list lagging" at the step "queued"
    And a payment with a ticket through instance A is held at the step "queued"
    And the instance list is unavailable
    When the held requests resume
    And all open requests have ended
    Then the caller gets outcome answered
    And the request ran 1 time
