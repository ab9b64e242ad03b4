Feature: Every layer runs exactly once for each token, in order

  Background:
    Given a model of 24 layers on engines:
      | engine | first | last |
      | e1     | 0     | 12   |
      | e2     | 0     | 16   |
      | e3     | 12    | 24   |
      | e4     | 8     | 24   |
    And daemons d1

  Scenario: A later stage is killed between tokens
    When a caller streams 40 tokens through d1
    And 10 tokens have come
    And the engine in use after the first is killed
    Then the answer is whole and right
    And the engines ran each layer once for each token, in order

  Scenario: The first stage is killed between tokens
    When a caller streams 40 tokens through d1
    And 10 tokens have come
    And the first engine in use is killed
    Then the answer is whole and right
    And the engines ran each layer once for each token, in order

  Scenario: A stage is frozen past its time-out, then wakes and answers late
    When a caller streams 40 tokens through d1
    And 10 tokens have come
    And the engine in use after the first is frozen
    Then the answer is whole and right
    When the frozen engine wakes
    Then the engines ran each layer once for each token, in order

  Scenario: Two stages are killed, one after the other
    When a caller streams 60 tokens through d1
    And 10 tokens have come
    And engine e1 is killed
    And 20 tokens have come
    And engine e3 is killed
    Then the answer is whole and right
    And the engines ran each layer once for each token, in order

  Scenario: Engines repeat frames and send frames of others
    When engine e1 has the faults repeat_frames, stray_frames
    And engine e2 has the faults repeat_frames, stray_frames
    And 8 callers stream 20 tokens each through d1
    Then every answer is whole and right
    And the engines ran each layer once for each token, in order

  Scenario: No live engines cover all layers
    When engine e3 says that it leaves
    And engine e4 says that it leaves
    And every daemon knows that e3 leaves
    And every daemon knows that e4 leaves
    And a caller streams 5 tokens through d1
    Then the answer ends with the explicit error "no_route"
    And the caller is told not_run
    And no engine ran anything
