Feature: A change of a model version is loaded by fenced orders while routes stay alive

  Background:
    Given a model of 8 layers on engines:
      | engine | first | last |
      | e1     | 0     | 8    |
      | e2     | 0     | 8    |
      | e3     | 0     | 8    |
    And daemons d1, d2

  Scenario: Forward and back under load
    When callers go on asking d1, d2
    And an operator sets the version of "guide" to v2 through d1
    Then all engines hold v2
    When an operator sets the version of "guide" to v1 through d2
    Then all engines hold v1
    When the callers have stopped
    Then every caller had a whole answer of one version
    And no engine took an order of an older epoch after a newer one

  Scenario: The daemon that gives the orders is killed
    When an operator sets the version of "guide" to v2 through d1
    And the daemon that gives orders is killed
    Then all engines hold v2
    And no engine took an order of an older epoch after a newer one

  Scenario: The daemon that gives the orders is frozen and wakes
    When an operator sets the version of "guide" to v2 through d1
    And the daemon that gives orders is frozen
    Then all engines hold v2
    When the frozen daemon wakes
    Then no engine took an order of an older epoch after a newer one

  Scenario: A group on another version has its own servers
    Given group "kines" uses version v2
    Then some engine holds v1 and some engine holds v2
    When "plateau-key" asks until it is served by v2
    Then "caller-key" is served by v1
