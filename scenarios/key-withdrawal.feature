Feature: A withdrawn key stops working within 3 seconds

  Background:
    Given seed 7
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @key-withdrawal
  Scenario: The key is withdrawn without a fault
    When callers of "lamps" send 240 requests of 50 ms through all entry hosts over 6 seconds
    And callers of "mills" send 60 requests of 20 ms through all entry hosts over 6 seconds
    And 1 second passes
    And the operator withdraws the key of "lamps"
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
    And requests of "mills" started later than 3 seconds after the withdrawal
    And no request that was refused as not run was started

  @key-withdrawal @outage
  Scenario: The key is withdrawn while the store is down
    When callers of "lamps" send 240 requests of 50 ms through all entry hosts over 8 seconds
    And 1 second passes
    And the store is down
    And 1 second passes
    And the operator withdraws the key of "lamps"
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
