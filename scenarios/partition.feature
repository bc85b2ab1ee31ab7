Feature: Conditions hold while entry hosts are cut off from each other

  Background:
    Given seed 41
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots
    And the team "mills" has an upper limit of 4

  @key-withdrawal @cut
  Scenario: An entry host that is cut off from store and peers starts nothing more
    When callers of "lamps" send 240 requests of 50 ms through entry host 3 over 7 seconds
    And callers of "mills" send 240 requests of 50 ms through all entry hosts over 7 seconds
    And 1 second passes
    And entry host 3 is cut off from its peers and the store
    And the operator withdraws the key of "lamps"
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
    And entry host 3 started no request later than 3 seconds after it was cut off
    And requests were refused with "view-expired"
    And requests of "mills" started later than 3 seconds after the withdrawal
    And no request that was refused as not run was started

  @key-withdrawal @cut @race
  Scenario: An entry host that is cut off repeats no request that a runner failed
    When callers of "lamps" send 200 requests of 10 ms through entry host 3 over 1 seconds
    And 1.2 seconds pass
    And every runner responds with the id of another request
    And callers of "lamps" send 24 requests of 4200 ms through entry host 3 over 1 seconds
    And 1 second passes
    And entry host 3 is cut off from its peers and the store
    And the operator withdraws the key of "lamps"
    And callers of "lamps" send 20 requests of 10 ms through entry host 3 over 4 seconds
    Then no request started for "lamps" later than 3 seconds after the withdrawal was accepted
    And entry host 3 started no request later than 3 seconds after it was cut off

  @key-withdrawal @cut
  Scenario: A withdrawal at an entry host that is cut off is accepted only after the cut
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 10 seconds
    And 1 second passes
    And entry host 3 is cut off from its peers and the store
    And the operator withdraws the key of "lamps" at entry host 3 and the withdrawal is not accepted
    And 1 second passes
    And entry host 3 is connected to its peers and the store again
    Then no request started for "lamps" later than 3 seconds after entry host 3 was connected again
    And no request that was refused as not run was started

  @zone-out @cut
  Scenario: An entry host without its peers learns of the take-out from the store
    When callers of "lamps" send 240 requests of 50 ms through all entry hosts over 7 seconds
    And 1 second passes
    And entry host 3 is cut off from its peers
    And the operator takes zone "c" out
    Then no request started in zone "c" later than 3 seconds after it was taken out
    And at least 20 requests were answered

  @zone-out @cut @outage
  Scenario: The majority takes a zone out without the store
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 8 seconds
    And 1 second passes
    And the store is down
    And entry host 3 is cut off from its peers and the store
    And the operator takes zone "a" out
    Then no request started in zone "a" later than 3 seconds after it was taken out
    And entry host 3 started no request later than 3 seconds after it was cut off
    And entry host 1 started requests later than 3 seconds after entry host 3 was cut off
    And no request that was refused as not run was started

  @zone-out @cut @silent
  Scenario: An entry host that peers cannot reach fetches the take-out from them
    When callers of "lamps" send 240 requests of 50 ms through all entry hosts over 7 seconds
    And 1 second passes
    And the link between entry host 3 and the store is cut
    And the link from entry host 1 to entry host 3 goes silent
    And the link from entry host 2 to entry host 3 goes silent
    And the operator takes zone "c" out
    Then no request started in zone "c" later than 3 seconds after it was taken out
    And at least 20 requests were answered
