Feature: A daemon that cannot know of a newer revision does not act on an old one

  Background:
    Given a model of 8 layers on engines:
      | engine | first | last |
      | e1     | 0     | 8    |

  Scenario: Cut off from the table and from every other daemon
    Given daemons d1, d2 that trust old settings for 1.5 seconds
    When the platform is out
    And daemon d2 is killed
    Then daemon d1 is not ready
    When a caller streams 5 tokens through d1
    Then the answer ends with the explicit error "cut_off"
    And no engine ran anything
    When the platform is back
    Then daemon d1 is ready

  Scenario: One daemon alone keeps serving through an outage
    Given daemons d1 that trust old settings for 1.5 seconds
    When the platform is out
    And 3 seconds pass
    And a caller streams 5 tokens through d1
    Then the answer is whole and right

  Scenario: All daemons keep serving while they hear each other
    Given daemons d1, d2 that trust old settings for 1.5 seconds
    When the platform is out
    And 3 seconds pass
    And a caller streams 5 tokens through d1
    And a caller streams 5 tokens through d2
    Then every answer is whole and right
