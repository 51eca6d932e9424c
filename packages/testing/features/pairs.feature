@pairs
Feature: Two faults at the same time, and payments that still run at most once

  Instance A holds a payment when the first fault strikes, the second one comes on top, and the caller sends the
  payment again through B, then through A where A is back.

  Background:
    Given instances A and B

  Scenario Outline: <fault> and <second> at <step>: a payment with a <binding>
    Given the pair "<fault>" and "<second>" at "<step>"
    And callers that allow 3000 ms
    And a payment with a <binding> that instance A holds at "<step>"
    When <one>
    And <two>
    And the caller gives up
    And the caller sends it again through instance B
    Then the caller is told unknown
    When instance A is back
    And what was held goes on
    And the caller sends it again through instance B
    And the caller sends it again through instance A
    Then it ran <runs>

    Examples:
      | fault           | second               | step                  | binding | one                            | two                            | runs            |
      | instance killed | log down             | sent                  | ticket  | the log is down                | instance A is killed           | 1 time          |
      | instance killed | log down             | sent                  | key     | the log is down                | instance A is killed           | 1 time          |
      | instance killed | log down             | ticket or claim taken | ticket  | the log is down                | instance A is killed           | 0 times         |
      | holder paused   | log down             | sent                  | ticket  | the log is down                | instance A is paused           | 1 time          |
      | holder paused   | log down             | sent                  | key     | the log is down                | instance A is paused           | 1 time          |
      | holder paused   | log slow             | sent                  | key     | the log is slow                | instance A is paused           | 1 time          |
      | holder paused   | instance replaced    | sent                  | ticket  | instance A is paused           | instance A is replaced         | 1 time          |
      | holder paused   | instance replaced    | sent                  | key     | instance A is paused           | instance A is replaced         | 1 time          |
      | holder paused   | instance replaced    | ticket or claim taken | key     | instance A is paused           | instance A is replaced         | 0 times         |
      | instance replaced | log down           | sent                  | ticket  | the log is down                | instance A is replaced         | 1 time          |
      | upstream crash  | instance killed      | sent                  | ticket  | the upstreams now refuse connections | instance A is killed     | 1 time          |
      | upstream crash  | holder paused        | sent                  | key     | the upstreams now refuse connections | instance A is paused     | 1 time          |
      | two operators   | instance killed      | sent                  | ticket  | two operators move the service to different upstreams at the same moment | instance A is killed | 1 time |
      | two operators   | holder paused        | sent                  | key     | two operators move the service to different upstreams at the same moment | instance A is paused | 1 time |
