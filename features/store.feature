Feature: The store is down or slow, or its answers are lost

  Scenario: the store is down for ten minutes
    Given 3 entry hosts and 3 targets that check the fence
    When the store is down for 600 seconds
    And 620 seconds pass
    Then every promise holds
    And no request failed
    And no key was unavailable

  Scenario: the store accepts calls but answers none
    Given 3 entry hosts and 3 targets that do not check the fence
    When the store is silent for 60 seconds
    And 80 seconds pass
    Then every promise holds
    And no request failed
    And no key was unavailable

  Scenario: a target is lost while the store is down
    Given 4 entry hosts and 3 targets that check the fence
    When the store is down for 60 seconds
    And 10 seconds pass
    And the owner is killed
    And 70 seconds pass
    Then every promise holds
    And the owner has changed
    And no key was unavailable for more than 2 seconds

  Scenario: an entry host is lost while the store is down
    Given 4 entry hosts and 3 targets that check the fence
    When the store is down for 60 seconds
    And 10 seconds pass
    And the keeper is lost
    And 70 seconds pass
    Then every promise holds
    And the keeper has changed
    And no key was unavailable for more than 2 seconds

  Scenario: an entry host and a target are lost while the store is down
    Given 4 entry hosts and 3 targets that check the fence
    When the store is down for 60 seconds
    And 10 seconds pass
    And the owner is killed
    And the keeper is lost
    And 70 seconds pass
    Then every promise holds
    And the owner has changed
    And the keeper has changed
    And no key was unavailable for more than 2 seconds

  Scenario: an entry host is lost just after it moved a shard without the store
    Given 4 entry hosts and 3 targets that do not check the fence
    When the store is down for 60 seconds
    And 10 seconds pass
    And the owner is killed
    And 1 seconds pass
    And the keeper is lost
    And 70 seconds pass
    Then every promise holds
    And the owner has changed
    And the keeper has changed

  Scenario: each call of the store takes two seconds
    Given 3 entry hosts and 3 targets that check the fence
    When each call of the store takes 2 seconds for 60 seconds
    And 10 seconds pass
    And the owner is killed
    And 70 seconds pass
    Then every promise holds
    And the owner has changed

  Scenario: writes take effect and their answers are lost
    Given 4 entry hosts and 3 targets that check the fence
    When the next 2 writes took effect and their answers are lost
    And the owner is killed
    And 8 seconds pass
    Then every promise holds
    And the owner has changed
    And no key was unavailable for more than 2 seconds

  Scenario: writes do not take effect and their answers are lost
    Given 4 entry hosts and 3 targets that check the fence
    When the next 2 writes did not take effect and their answers are lost
    And the owner is killed
    And 8 seconds pass
    Then every promise holds
    And the owner has changed
    And no key was unavailable for more than 2 seconds

  Scenario: writes take effect minutes after their answers were lost
    Given 4 entry hosts and 3 targets that check the fence
    When the next 2 writes takes effect later and their answers are lost
    And the owner is killed
    And 120 seconds pass
    Then every promise holds
    And the owner has changed
    And no key was unavailable for more than 2 seconds

  Scenario: the keeper pauses just before a write of the store
    Given 4 entry hosts and 3 targets that check the fence
    When the keeper is paused just before its next write for 12 seconds
    And the owner is killed
    And 25 seconds pass
    Then every promise holds
    And the owner has changed
    And the keeper has changed
