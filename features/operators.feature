Feature: Concurrent changes by operators lose no accepted revision

  Scenario: two operators apply at once
    Given an accepted questionnaire
    When two operators revise it at once
    Then one revision is accepted and the other operator sees what changed

  Scenario: two operators apply at once, and the store's answers are lost
    Given an accepted questionnaire
    When the answers of the next 2 writes are lost after they took effect
    And two operators revise it at once
    Then one revision is accepted and the other operator sees what changed
