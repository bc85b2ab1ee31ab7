Feature: A non-idempotent request runs at most once

  Background:
    Given seed 19
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @at-most-once @race
  Scenario: An order arrives at all entry hosts at the same moment
    When callers of "lamps" send 100 repeated orders of 50 ms through all entry hosts over 4 seconds
    And callers of "mills" send 150 merges of 50 ms through all entry hosts over 4 seconds
    Then no idempotency key was started more than once
    And no merge was started more than once
    And every response is complete and belongs to its own request

  @at-most-once @lost-answer @race
  Scenario: The store loses answers while orders are repeated
    When callers of "lamps" send 100 repeated orders of 50 ms through all entry hosts over 4 seconds
    And callers of "mills" send 150 merges of 50 ms through all entry hosts over 4 seconds
    And the store loses 30 percent of its responses
    Then no idempotency key was started more than once
    And no merge was started more than once
    And every response is complete and belongs to its own request

  @at-most-once @outage @race
  Scenario: The store is down while orders are repeated
    When callers of "lamps" send 100 repeated orders of 50 ms through all entry hosts over 4 seconds
    And callers of "mills" send 150 merges of 50 ms through all entry hosts over 4 seconds
    And 1 second passes
    And the store is down for 2 seconds
    Then no idempotency key was started more than once
    And no merge was started more than once
    And every response is complete and belongs to its own request

  @at-most-once @cut
  Scenario: Runners close connections when the work starts
    When callers of "lamps" send 100 repeated orders of 50 ms through all entry hosts over 4 seconds
    And callers of "mills" send 150 merges of 50 ms through all entry hosts over 4 seconds
    And runner 1 closes connections when the work starts
    And runner 2 closes connections when the work starts
    Then no idempotency key was started more than once
    And no merge was started more than once
    And every response is complete and belongs to its own request

  @at-most-once @silent
  Scenario: Open connections to runners go silent
    When callers of "lamps" send 100 repeated orders of 50 ms through all entry hosts over 4 seconds
    And callers of "mills" send 150 merges of 50 ms through all entry hosts over 4 seconds
    And 1 second passes
    And open connections to runner 1 go silent
    And open connections to runner 2 go silent
    Then no idempotency key was started more than once
    And no merge was started more than once
    And every response is complete and belongs to its own request

  @at-most-once @kill @lost-answer
  Scenario: An entry host is killed while the store loses answers
    When callers of "lamps" send 100 repeated orders of 50 ms through all entry hosts over 4 seconds
    And callers of "mills" send 150 merges of 50 ms through all entry hosts over 4 seconds
    And 1 second passes
    And the store loses 30 percent of its responses
    And entry host 1 is killed
    Then no idempotency key was started more than once
    And no merge was started more than once
    And every response is complete and belongs to its own request
