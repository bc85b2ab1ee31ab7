Feature: A withdrawn key stops working within 3 seconds

  Background:
    Given seed 7
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @key-withdrawal
  Scenario: The key is withdrawn without a fault
    When callers of "lamps" send 240 requests of 50 ms through all entry hosts over 7 seconds
    And callers of "mills" send 70 requests of 20 ms through all entry hosts over 7 seconds
    And 1 second passes
    And the operator withdraws the key of "lamps"
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
    And requests of "mills" started later than 3 seconds after the withdrawal
    And no request that was refused as not run was started

  @key-withdrawal
  Scenario: Requests that wait in a queue when their key is withdrawn do not start
    When callers of "lamps" send 300 requests of 1000 ms through all entry hosts over 1 seconds
    And callers of "lamps" send 70 requests of 50 ms through all entry hosts over 7 seconds
    And 1 second passes
    And the operator withdraws the key of "lamps"
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
    And no request that was refused as not run was started

  @key-withdrawal @outage
  Scenario: The withdrawal outlasts the end of the outage
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 10 seconds
    And 1 second passes
    And the store is down for 3 seconds
    And 1 second passes
    And the operator withdraws the key of "lamps"
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
    And no request that was refused as not run was started

  @key-withdrawal @race
  Scenario: Two operators withdraw the key at the same time
    When callers of "lamps" send 240 requests of 50 ms through all entry hosts over 7 seconds
    And callers of "mills" send 70 requests of 20 ms through all entry hosts over 7 seconds
    And 1 second passes
    And two operators withdraw the key of "lamps" at the same time
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
    And requests of "mills" started later than 3 seconds after the withdrawal

  @key-withdrawal @cut
  Scenario: An entry host without the store learns of the withdrawal
    When callers of "lamps" send 240 requests of 50 ms through all entry hosts over 7 seconds
    And callers of "mills" send 70 requests of 20 ms through all entry hosts over 7 seconds
    And 1 second passes
    And the link between entry host 3 and the store is cut
    And the operator withdraws the key of "lamps"
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
    And requests of "mills" started later than 3 seconds after the withdrawal

  @key-withdrawal @outage @freeze
  Scenario: An entry host is frozen while the key is withdrawn without the store
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 10 seconds
    And 1 second passes
    And the store is down
    And 1 second passes
    And entry host 2 is frozen for 4 seconds
    And 0.2 seconds pass
    And the operator withdraws the key of "lamps"
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
    And no request that was refused as not run was started

  @key-withdrawal @kill @outage
  Scenario: The entry host that took the order is killed while the store is down
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 10 seconds
    And 1 second passes
    And the store is down
    And 1 second passes
    And the operator withdraws the key of "lamps"
    And entry host 1 is killed
    And the store responds again
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted

  @key-withdrawal @race
  Scenario: A request that a runner failed is not repeated after its key was withdrawn
    When callers of "mills" send 200 requests of 10 ms through entry host 2 over 1 seconds
    And 1.2 seconds pass
    And every runner responds with the id of another request
    And callers of "lamps" send 24 requests of 4200 ms through entry host 2 over 1 seconds
    And 1 second passes
    And the operator withdraws the key of "lamps"
    And callers of "lamps" send 20 requests of 10 ms through entry host 2 over 4 seconds
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
