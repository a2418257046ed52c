Feature: Scenarios run in virtual time

  Scenario: an hour of virtual time passes immediately
    When 3600 seconds pass
    Then the clock shows 3600 seconds more
