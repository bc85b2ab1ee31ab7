Feature: No work starts in an availability zone more than 3 seconds after it was taken out

  Background:
    Given seed 5
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @zone-out
  Scenario: A zone is taken out and brought back
    When callers of "lamps" send 360 requests of 50 ms through all entry hosts over 9 seconds
    And 1 second passes
    And the operator takes zone "a" out
    And 5 seconds pass
    And the operator brings zone "a" back
    Then no request started in zone "a" later than 3 seconds after it was taken out
    And requests started in zone "a" again after it was brought back
    And no request was cut

  @zone-out @slow
  Scenario: Orders that wait for a slow store do not start in the zone
    When callers of "lamps" send 300 orders of 50 ms through all entry hosts over 10 seconds
    And 1 second passes
    And the store delays its responses by 800 ms
    And the operator takes zone "a" out
    Then no request started in zone "a" later than 3 seconds after it was taken out

  @zone-out @freeze
  Scenario: An entry host of the zone is frozen while the zone is taken out
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 9 seconds
    And 1 second passes
    And entry host 1 is frozen for 4 seconds
    And the operator takes zone "a" out at entry host 2
    Then no request started in zone "a" later than 3 seconds after it was taken out
    And at least 20 requests were answered

  @zone-out @outage @cut
  Scenario: A zone is taken out while the store is down and connections are cut
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 9 seconds
    And 1 second passes
    And the store is down
    And the operator takes zone "a" out
    And the open connections to runner 2 are cut
    And the open connections to runner 3 are cut
    Then no request started in zone "a" later than 3 seconds after it was taken out
    And at least 20 requests were answered

  @zone-out @kill
  Scenario: The entry host that took the order is killed
    When callers of "lamps" send 240 requests of 50 ms through all entry hosts over 7 seconds
    And 1 second passes
    And the operator takes zone "a" out
    And entry host 1 is killed
    Then no request started in zone "a" later than 3 seconds after it was taken out
    And at least 20 requests were answered
