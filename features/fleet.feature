Feature: Entry hosts are lost, stopped, frozen and replaced

  Scenario: the keeper is lost
    Given 4 entry hosts and 3 targets that check the fence
    When the keeper is lost
    And 6 seconds pass
    Then every promise holds
    And the keeper has changed
    And no key was unavailable for more than 2 seconds

  Scenario: the machine of the keeper is lost
    Given 4 entry hosts and 3 targets that check the fence
    When the machine of the keeper is lost
    And 10 seconds pass
    Then every promise holds
    And the keeper has changed
    And no key was unavailable for more than 2 seconds

  Scenario: the keeper of targets that do not check the fence is lost
    Given 4 entry hosts and 3 targets that do not check the fence
    When the machine of the keeper is lost
    And 10 seconds pass
    Then every promise holds
    And no key was unavailable for more than 2 seconds

  Scenario: the keeper and its successor are lost together
    Given 5 entry hosts and 3 targets that check the fence
    When the keeper is lost
    And the successor is lost
    And 10 seconds pass
    Then every promise holds
    And the keeper has changed
    And no key was unavailable for more than 2 seconds

  Scenario: the keeper is stopped with requests in flight
    Given 4 entry hosts and 3 targets that check the fence
    When the keeper is stopped
    And 6 seconds pass
    Then every promise holds
    And the keeper has changed
    And no request failed
    And no key was unavailable

  Scenario: all entry hosts are replaced one by one
    Given 4 entry hosts and 3 targets that check the fence
    When all entry hosts are replaced one by one
    And 6 seconds pass
    Then every promise holds
    And no request failed
    And all entry hosts are open

  Scenario: all entry hosts are replaced at once
    Given 4 entry hosts and 3 targets that check the fence
    When all entry hosts are killed and started again
    And 15 seconds pass
    Then every promise holds
    And all entry hosts are open

  Scenario: a data centre is lost
    Given 6 entry hosts and 6 targets in 3 data centres
    When data centre "x" is lost
    And 12 seconds pass
    Then every promise holds
    And no key was unavailable for more than 2 seconds

  Scenario: the keeper freezes past its lease and resumes
    Given 4 entry hosts and 3 targets that check the fence
    When the keeper is paused for 20 seconds
    And 30 seconds pass
    Then every promise holds
    And the keeper has changed
    And no key was unavailable for more than 2 seconds
    And all entry hosts are open

  Scenario: a host resumes from a freeze with an old generation
    Given 4 entry hosts and 3 targets that check the fence
    When the other host is paused for 20 seconds
    And an operator applies generation 2
    And 15 seconds pass
    And an operator applies generation 3
    And 25 seconds pass
    Then every promise holds
    And generation 3 is in force on all entry hosts
