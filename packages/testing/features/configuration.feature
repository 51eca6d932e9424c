Feature: An accepted configuration is never reverted

  Scenario: an instance paused during a change resumes while the log is down, then both instances are replaced
    Given instances A and B
    And a payment through instance A is held at the step "sent"
    When instance A is paused
    And a second upstream replaces the first one in the configuration of instance B
    And the log is down
    And instance A is resumed
    And the held requests resume
    And all open requests have ended
    Then every instance sends new requests only to the second upstream
    When instance B is replaced
    And instance A is replaced
    Then every instance sends new requests only to the second upstream
