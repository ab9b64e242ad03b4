Feature: A request that may not be repeated runs at most once

  Background:
    Given a model of 8 layers on engines:
      | engine | first | last |
      | e1     | 0     | 8    |
    And daemons d1, d2

  Scenario: The same key at once through both daemons
    When the service takes 0.2 seconds
    And check-in "k1" is sent 20 times at once through d1, d2
    Then the service ran 1 time
    And all answers agree or say unknown

  Scenario: The same key again later through the other daemon
    When check-in "k1" is sent through d1
    And check-in "k1" is sent through d2
    And check-in "k2" is sent through d2
    Then the answers are 200, 200, 200
    And the service ran 2 times

  Scenario: A daemon is killed after it sent
    When the service takes 1 seconds
    And check-in "k1" is being sent through d1
    And the service has begun
    And daemon d1 is killed
    And check-in "k1" is sent through d2
    Then the last answer is 409 and says unknown
    And the service ran 1 time

  Scenario: A daemon is killed between claim and send
    When check-in "k1" is being sent through d1
    And the claim is in the table
    And daemon d1 is killed
    And check-in "k1" is sent through d2
    Then the service ran at most 1 time

  Scenario: A daemon is frozen for longer than any time-out and wakes
    When the service takes 0.5 seconds
    And check-in "k1" is being sent through d1
    And the claim is in the table
    And daemon d1 is frozen
    And check-in "k1" is sent through d2
    And daemon d1 wakes
    And the sender has its answer
    Then the service ran 1 time

  Scenario: The claim's answer is lost after the write
    When the platform loses its next 2 answers
    And check-in "k1" is sent through d1
    And check-in "k1" is sent through d2
    Then the answers are 200, 200
    And the service ran 1 time

  Scenario: The table is out, then back
    When the platform is out
    And check-in "k1" is sent through d1
    Then the last answer is 503 and says not_run
    And the service ran 0 times
    When the platform is back
    And check-in "k1" is sent through d2
    Then the answers are 503, 200
    And the service ran 1 time

  Scenario: The service cuts its answer
    When the service cuts its answers
    And check-in "k1" is sent through d1
    Then the last answer is 502 and says unknown
    When the service is well again
    And check-in "k1" is sent through d1
    Then the last answer is 409 and says unknown
    And the service ran 1 time

  Scenario: The table is slow
    When the platform takes 0.4 seconds to answer
    And check-in "k1" is sent 6 times at once through d1, d2
    Then the service ran 1 time
    And all answers agree or say unknown

  Scenario: Answers of the table are lost and the daemon is killed
    When the platform loses its next 50 answers
    And check-in "k1" is being sent through d1
    And the claim is in the table
    And daemon d1 is killed
    And the platform is back
    And check-in "k1" is sent through d2
    Then the last answer is 409 and says unknown
    And the service ran 0 times
