@pairs
Feature: A payment runs at most once under two simultaneous faults

  Both faults occur while instance A handles a payment. The caller resends the payment through instance B, then through
  B and A again after A is resumed. Resuming has no effect on an instance that was killed or replaced.

  Background:
    Given instances A and B

  Scenario Outline: <fault> and <second fault> at <step>: a payment with a <binding>
    Given this scenario covers the faults "<fault>" and "<second fault>" at the step "<step>"
    And callers set a deadline of 3000 ms
    And a payment with a <binding> through instance A is held at the step "<step>"
    When <first event>
    And <second event>
    And the caller closes its connections
    And the caller resends the request through instance B
    Then the caller gets outcome unknown
    When instance A is resumed
    And the held requests resume
    And the caller resends the request through instance B
    And the caller resends the request through instance A
    Then the request ran <runs>

    Examples:
      | fault             | second fault      | step                  | binding | first event                                                            | second event           | runs    |
      | instance killed   | log down          | sent                  | ticket  | the log is down                                                        | instance A is killed   | 1 time  |
      | instance killed   | log down          | sent                  | key     | the log is down                                                        | instance A is killed   | 1 time  |
      | instance killed   | log down          | ticket or claim taken | ticket  | the log is down                                                        | instance A is killed   | 0 times |
      | instance paused   | log down          | sent                  | ticket  | the log is down                                                        | instance A is paused   | 1 time  |
      | instance paused   | log down          | sent                  | key     | the log is down                                                        | instance A is paused   | 1 time  |
      | instance paused   | log slow          | sent                  | key     | the log is slow                                                        | instance A is paused   | 1 time  |
      | instance paused   | instance replaced | sent                  | ticket  | instance A is paused                                                   | instance A is replaced | 1 time  |
      | instance paused   | instance replaced | sent                  | key     | instance A is paused                                                   | instance A is replaced | 1 time  |
      | instance paused   | instance replaced | ticket or claim taken | key     | instance A is paused                                                   | instance A is replaced | 0 times |
      | instance replaced | log down          | sent                  | ticket  | the log is down                                                        | instance A is replaced | 1 time  |
      | upstream crash    | instance killed   | sent                  | ticket  | the upstreams now refuse connections                                   | instance A is killed   | 1 time  |
      | upstream crash    | instance paused   | sent                  | key     | the upstreams now refuse connections                                   | instance A is paused   | 1 time  |
      | two operators     | instance killed   | sent                  | ticket  | two operators move the service to different upstreams at the same time | instance A is killed   | 1 time  |
      | two operators     | instance paused   | sent                  | key     | two operators move the service to different upstreams at the same time | instance A is paused   | 1 time  |
