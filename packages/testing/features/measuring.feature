Feature: Measuring load never costs more than its budget

  Scenario: probes of two instances, one of which is paused, wakes and is replaced
    Given instances A and B
    And a service with 1 upstream and a budget of 20 probes each second for 2 instances
    When the upstream has had 10 more probes
    Then the upstream never had more probes than the budget
    When instance A is paused
    And the upstream has had 5 more probes
    And instance A is back
    And the upstream has had 10 more probes
    Then the upstream never had more probes than the budget
    When instance A is replaced
    And the upstream has had 10 more probes
    Then the upstream never had more probes than the budget
