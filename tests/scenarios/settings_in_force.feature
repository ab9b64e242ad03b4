Feature: An accepted change is in force everywhere within seconds and never reverts

  Background:
    Given a model of 8 layers on engines:
      | engine | first | last |
      | e1     | 0     | 8    |
    And daemons d1, d2, d3

  Scenario: Ten operators race for one revision
    When 10 operators change the share of "khangai" at once through d1, d2, d3
    Then exactly 1 change was accepted and the others were told of the conflict
    And all daemons have the settings of the accepted changes

  Scenario: Ten operators race and each tries until it is accepted
    When 10 operators change a group of their own until accepted through d1, d2, d3
    Then all daemons have the settings of the accepted changes

  Scenario: The table's answer is lost after the write
    When the platform loses its next 2 answers
    And an operator sets the share of "khangai" to 7 through d1
    Then the change was accepted
    And all daemons have the settings of the accepted changes
    And the audit trail names each accepted change once

  Scenario: The platform is out, then back
    When the platform is out
    And an operator sets the share of "khangai" to 7 through d1
    Then the change was refused as platform_unavailable
    When a caller streams 5 tokens through d2
    Then the answer is whole and right
    When the platform is back
    And an operator sets the share of "khangai" to 8 through d2
    Then the change was accepted
    And all daemons have the settings of the accepted changes

  Scenario: A daemon starts while the platform's table is out
    When the platform's table is out
    And daemon d4 starts
    Then daemon d4 is ready
    And all daemons have the settings of the accepted changes

  Scenario: A daemon is frozen during a change
    When daemon d3 is frozen
    And an operator sets the share of "khangai" to 7 through d1
    Then the change was accepted but is not yet in force on d3
    When daemon d3 wakes
    Then all daemons have the settings of the accepted changes

  Scenario: The table is restored to an older state
    When the platform keeps a copy of its table
    And an operator sets the share of "khangai" to 7 through d1
    And the platform restores its table
    Then all daemons have the settings of the accepted changes
    When an operator sets the share of "khangai" to 9 through d2
    Then the change was refused as settings_went_back
    And all daemons have the settings of the accepted changes

  Scenario: An operator of one clinic reaches for another's settings
    When the operator of "kines" sets the share of "khangai" through d1
    Then the change was refused as forbidden
    And the operator of "kines" sees nothing of "khangai" through d2

  Scenario: The daemon that accepts a change is killed before it can tell anybody
    When the platform loses its next 50 answers
    And an operator is setting the share of "khangai" to 7 through d1
    And the platform holds revision 2
    And daemon d1 is killed
    And the platform is back
    Then the other daemons come to have share 7 of "khangai"

  Scenario: A daemon is frozen during a change while the table is out when it wakes
    When daemon d3 is frozen
    And an operator sets the share of "khangai" to 7 through d1
    And the platform is out
    And daemon d3 wakes
    Then all daemons have the settings of the accepted changes
