Feature: Load probes stay within their budget

  Scenario: probes from two instances, one of which is paused, resumed and replaced
    Given instances A and B
    And a service with 1 upstream and a budget of 20 probes per second for 2 instances
    When the upstream has received 10 more probes
    Then the upstream has received no more probes than the budget allows
    When instance A is paused
    And the upstream has received 5 more probes
    And instance A is resumed
    And the upstream has received 10 more probes
    Then the upstream has received no more probes than the budget allows
    When instance A is replaced
    And the upstream has received 10 more probes
    Then the upstream has received no more probes than the budget allows
