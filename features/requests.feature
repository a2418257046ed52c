Feature: Requests run at most once, and a refused request has not run

  Scenario: a target answers after the deadline
    Given 4 entry hosts and 3 targets that check the fence
    When the owner needs 5 seconds for each request for 4 seconds
    And 15 seconds pass
    Then every promise holds
    And callers were told that an outcome is unknown

  Scenario: a target sheds all requests for a while
    Given 4 entry hosts and 3 targets that check the fence
    When the owner sheds all requests for 4 seconds
    And 10 seconds pass
    Then every promise holds
    And no caller was told that an outcome is unknown

  Scenario: a target is lost with requests in flight
    Given 4 entry hosts and 3 targets that do not check the fence
    When the owner needs 1 seconds for each request for 4 seconds
    And 0.5 seconds pass
    And the owner is killed
    And 10 seconds pass
    Then every promise holds
    And the owner has changed
    And callers were told that an outcome is unknown

  Scenario: the keeper is stopped while requests take long
    Given 4 entry hosts and 3 targets that check the fence
    When the owner needs 1 seconds for each request for 4 seconds
    And 0.5 seconds pass
    And the keeper is stopped
    And 10 seconds pass
    Then every promise holds
    And no request failed
