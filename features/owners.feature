Feature: Every key has one owner, whichever process pauses

  Scenario: an owner freezes past its grant and resumes
    Given 4 entry hosts and 3 targets that check the fence
    When the owner is paused for 6 seconds
    And 12 seconds pass
    Then every promise holds
    And the owner has changed
    And no key was unavailable for more than 2 seconds

  Scenario: an owner that does not check the fence freezes and resumes
    Given 4 entry hosts and 3 targets that do not check the fence
    When the owner is paused for 6 seconds
    And 12 seconds pass
    Then every promise holds

  Scenario: an owner is lost
    Given 4 entry hosts and 3 targets that check the fence
    When the owner is killed
    And 6 seconds pass
    Then every promise holds
    And the owner has changed
    And no key was unavailable for more than 2 seconds

  Scenario: an owner that does not check the fence is lost
    Given 4 entry hosts and 3 targets that do not check the fence
    When the owner is killed
    And 6 seconds pass
    Then every promise holds
    And the owner has changed
    And no key was unavailable for more than 2 seconds

  Scenario: an owner is lost and restarted at once
    Given 4 entry hosts and 3 targets that check the fence
    When the owner is killed
    And the owner is restarted
    And 6 seconds pass
    Then every promise holds
    And no key was unavailable for more than 2 seconds

  Scenario: the keeper pauses between its lease check and its send
    Given 4 entry hosts and 3 targets that check the fence
    When the keeper is paused just before its next order for 8 seconds
    And 4 seconds pass
    And the owner is killed
    And 12 seconds pass
    Then every promise holds
    And the keeper has changed
    And the owner has changed

  Scenario: the keeper pauses before its send to targets that do not check
    Given 4 entry hosts and 3 targets that do not check the fence
    When the keeper is paused just before its next order for 8 seconds
    And 4 seconds pass
    And the owner is drained
    And 12 seconds pass
    Then every promise holds
    And the keeper has changed
    And the owner has changed

  Scenario: a target is drained while it serves requests
    Given 4 entry hosts and 3 targets that check the fence
    When the owner is drained
    And 8 seconds pass
    Then every promise holds
    And the owner has changed
    And no request failed

  Scenario: a target that does not check the fence is drained while it serves requests
    Given 4 entry hosts and 3 targets that do not check the fence
    When the owner is drained
    And 8 seconds pass
    Then every promise holds
    And the owner has changed
    And no request failed
