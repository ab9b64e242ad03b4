Feature: A planned stop cuts off no request in flight

  Background:
    Given a model of 8 layers on engines:
      | engine | first | last |
      | e1     | 0     | 8    |
      | e2     | 0     | 8    |

  Scenario: Streams in flight end whole
    Given daemons d1, d2
    When 20 callers stream 60 tokens each through d1
    And 3 tokens have come
    And daemon d1 is told to stop
    Then every answer is whole and right
    And daemon d1 has ended with exit code 0

  Scenario: A check-in in flight is answered and kept
    Given daemons d1, d2
    When the service takes 0.7 seconds
    And check-in "k1" is being sent through d1
    And the service has begun
    And daemon d1 is told to stop
    And the sender has its answer
    And daemon d1 has ended with exit code 0
    And check-in "k1" is sent through d2
    Then the answers are 200, 200
    And the service ran 1 time

  Scenario: All daemons are restarted one after the other under load
    Given daemons d1, d2, d3
    And a balancer before all daemons
    When callers keep asking through the balancer
    And each daemon in turn is told to stop and started again
    And the callers have stopped
    Then no caller saw a failure
