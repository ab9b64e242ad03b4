Feature: A backend server that is leaving receives no new work after a few seconds

  Background:
    Given a model of 8 layers on engines:
      | engine | first | last |
      | e1     | 0     | 8    |
      | e2     | 0     | 8    |
    And daemons d1, d2

  Scenario: By its own word
    When engine e1 says that it leaves
    And every daemon knows that e1 leaves
    And the records begin anew
    And 20 callers stream 5 tokens each through d1, d2
    Then every answer is whole and right
    And engine e1 ran nothing since

  Scenario: By the host list
    When the host list says that engine e1 leaves
    And every daemon knows that e1 leaves
    And the records begin anew
    And 20 callers stream 5 tokens each through d1, d2
    Then every answer is whole and right
    And engine e1 ran nothing since

  Scenario: A stream on it ends whole
    When 8 callers stream 60 tokens each through d1, d2
    And 5 tokens have come
    And engine e1 says that it leaves
    Then every answer is whole and right
    And the engines ran each layer once for each token, in order

  Scenario: All servers of a model leave at once
    When engine e1 says that it leaves
    And engine e2 says that it leaves
    And every daemon knows that e1 leaves
    And every daemon knows that e2 leaves
    And a caller streams 5 tokens through d2
    Then the answer ends with the explicit error "no_route"
    And the caller is told not_run
