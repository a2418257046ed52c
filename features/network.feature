Feature: The network is partitioned

  Scenario: the keeper is cut off from the store only
    Given 4 entry hosts and 3 targets that check the fence
    When the keeper is cut off from the store for 30 seconds
    And 5 seconds pass
    And the owner is killed
    And 40 seconds pass
    Then every promise holds
    And the owner has changed
    And no key was unavailable for more than 2 seconds

  Scenario: the keeper is cut off from its peers only
    Given 4 entry hosts and 3 targets that check the fence
    When the keeper is cut off from its peers for 30 seconds
    And 45 seconds pass
    Then every promise holds
    And no key was unavailable for more than 2 seconds
    And all entry hosts are open

  Scenario: the keeper is cut off from its peers and targets do not check
    Given 4 entry hosts and 3 targets that do not check the fence
    When the keeper is cut off from its peers for 30 seconds
    And 45 seconds pass
    Then every promise holds
    And no key was unavailable for more than 2 seconds
    And all entry hosts are open

  Scenario: packets from the keeper to its peers are lost
    Given 4 entry hosts and 3 targets that do not check the fence
    When nothing gets from the keeper to its peers for 30 seconds
    And 45 seconds pass
    Then every promise holds
    And no key was unavailable for more than 2 seconds
    And all entry hosts are open

  Scenario: the keeper is cut off from one target
    Given 4 entry hosts and 3 targets that check the fence
    When the keeper is cut off from the owner for 20 seconds
    And 30 seconds pass
    Then every promise holds
    And no key was unavailable for more than 2 seconds

  Scenario: another host is cut off from one target
    Given 4 entry hosts and 3 targets that do not check the fence
    When the other host is cut off from the owner for 20 seconds
    And 30 seconds pass
    Then every promise holds
    And no key was unavailable for more than 2 seconds

  Scenario: two halves of the entry hosts are cut apart
    Given 4 entry hosts and 3 targets that check the fence
    When two halves of the entry hosts are cut apart for 30 seconds
    And 50 seconds pass
    Then every promise holds
    And no key was unavailable for more than 2 seconds
    And all entry hosts are open

  Scenario: two halves are cut apart while the store is down
    Given 4 entry hosts and 3 targets that do not check the fence
    When the store is down for 60 seconds
    And two halves of the entry hosts are cut apart for 30 seconds
    And 20 seconds pass
    And the owner is killed
    And 80 seconds pass
    Then every promise holds
    And all entry hosts are open

  Scenario: a data centre is cut off from the others for two minutes
    Given 6 entry hosts and 6 targets in 3 data centres
    When data centre "x" is cut off from the others for 120 seconds
    And 135 seconds pass
    Then every promise holds
    And all entry hosts are open
