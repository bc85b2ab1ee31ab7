Feature: Work is accepted only for the team whose key accompanies it

  Background:
    Given seed 11
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @key-team
  Scenario: The key of another team is refused
    When callers with the key of "mills" send 80 requests to the queue of "lamps" over 4 seconds
    And callers of "mills" send 80 requests of 20 ms through all entry hosts over 4 seconds
    Then every request with a wrong key was refused with "key-wrong-team"
    And no request with a wrong key was started
    And at least 20 requests were answered
    And no request that was refused as not run was started

  @key-team
  Scenario: A key that was never granted is refused
    When callers with an unknown key send 80 requests to the queue of "lamps" over 4 seconds
    And callers of "mills" send 80 requests of 20 ms through all entry hosts over 4 seconds
    Then every request with a wrong key was refused with "key-invalid"
    And no request with a wrong key was started
    And at least 20 requests were answered
    And no request that was refused as not run was started

  @key-team @outage
  Scenario: A wrong key is refused while the store is down
    When callers with the key of "mills" send 80 requests to the queue of "lamps" over 4 seconds
    And callers with an unknown key send 80 requests to the queue of "lamps" over 4 seconds
    And callers of "mills" send 80 requests of 20 ms through all entry hosts over 4 seconds
    And 1 second passes
    And the store is down for 2 seconds
    Then no request with a wrong key was started
    And at least 20 requests were answered
    And no request that was refused as not run was started

  @key-team @lost-answer @slow
  Scenario: A wrong key is refused while the store is slow and loses answers
    When callers with the key of "mills" send 80 requests to the queue of "lamps" over 4 seconds
    And callers with an unknown key send 80 requests to the queue of "lamps" over 4 seconds
    And callers of "mills" send 80 requests of 20 ms through all entry hosts over 4 seconds
    And the store delays its responses by 300 ms
    And the store loses 30 percent of its responses
    Then no request with a wrong key was started
    And at least 20 requests were answered
    And no request that was refused as not run was started

  @key-team @kill @cut
  Scenario: A wrong key is refused after an entry host was killed and another lost the store
    When callers with the key of "mills" send 80 requests to the queue of "lamps" over 4 seconds
    And callers with an unknown key send 80 requests to the queue of "lamps" over 4 seconds
    And callers of "mills" send 80 requests of 20 ms through all entry hosts over 4 seconds
    And the link between entry host 1 and the store is cut
    And entry host 3 is killed
    Then no request with a wrong key was started
    And at least 20 requests were answered
    And no request that was refused as not run was started
