Feature: A refusal that says not run is true

  Background:
    Given seed 17
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @not-run
  Scenario: Queues are full
    When callers of "lamps" send 900 requests of 1000 ms through all entry hosts over 3 seconds
    Then no request that was refused as not run was started
    And every response is complete and belongs to its own request

  @not-run @outage
  Scenario: Orders are refused while the store is down
    When callers of "lamps" send 200 orders of 50 ms through all entry hosts over 5 seconds
    And 1 second passes
    And the store is down for 2 seconds
    Then orders were refused because the store was unavailable
    And no idempotency key was started more than once

  @not-run @cut
  Scenario: Runners close connections while requests are sent
    When callers of "lamps" send 900 merges of 300 ms through all entry hosts over 3 seconds
    And runner 1 closes connections when the work starts
    And runner 2 closes connections when the work starts
    Then no request that was refused as not run was started

  @not-run @freeze
  Scenario: An entry host that was frozen refuses until it is confirmed
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 5 seconds
    And 1 second passes
    And entry host 1 is frozen for 3 seconds
    Then no request that was refused as not run was started

  @not-run @slow
  Scenario: Deadlines pass in the queue of slow runners
    When callers of "lamps" send 900 merges of 500 ms through all entry hosts over 4 seconds
    And runner 1 is 10 times slower
    And runner 2 is 10 times slower
    Then no request that was refused as not run was started

  @not-run @lost-answer
  Scenario: The store loses the answers to records of orders
    When callers of "lamps" send 900 orders of 500 ms through all entry hosts over 4 seconds
    And the store loses 50 percent of its responses
    Then no request that was refused as not run was started
    And no idempotency key was started more than once
