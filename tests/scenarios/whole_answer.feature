Feature: A caller gets the whole answer to their own request and nothing of another's

  Background:
    Given a model of 8 layers on engines:
      | engine | first | last |
      | e1     | 0     | 8    |
      | e2     | 0     | 8    |
      | e3     | 0     | 8    |
    And daemons d1, d2

  Scenario: Many streams through two daemons while an engine is killed
    When 120 callers stream 20 tokens each through d1, d2
    And engine e1 is killed
    Then every answer is whole and right or ends with an explicit error

  Scenario: Every engine cuts its streams half-way
    When engine e1 cuts its stream at token 5
    And engine e2 cuts its stream at token 5
    And engine e3 cuts its stream at token 5
    And a caller streams 10 tokens through d1
    Then every answer is whole and right or ends with an explicit error
    And the caller is told unknown

  Scenario: One engine repeats and strays while others are well
    When engine e2 has the faults repeat_frames, stray_frames
    And 60 callers stream 10 tokens each through d1, d2
    Then every answer is whole and right
