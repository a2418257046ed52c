Feature: Load storms do not delay other requests, and hot keys are spread

  Scenario: a storm of archive reads while filings arrive, at the first site
    When archive reads ask for twice the slots at "laurentide"
    Then at least 0.99 of the others are served in time

  Scenario: a storm of archive reads while filings arrive, at the second site
    When archive reads ask for twice the slots at "qoyan"
    Then at least 0.99 of the others are served in time

  Scenario: a storm of one team while another team sends requests
    When one team storms beside another at "laurentide"
    Then at least 0.99 of the others are served in time

  Scenario: 82 hot keys change every few minutes, and one exceeds a target's share
    When 82 hot keys move every few minutes over 10 targets for a team that weighs "unavailable_time"
    Then the busiest owner has at most 1.10 of the best that can be reached

  Scenario: 82 hot keys change every few minutes, at the second site
    When 82 hot keys move every few minutes over 12 targets for a team that weighs "imbalance"
    Then the busiest owner has at most 1.10 of the best that can be reached
