Feature: A runner in graceful shutdown receives no new work after 3 seconds

  Background:
    Given seed 23
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @upstream-shutdown
  Scenario: A runner shuts down
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 7 seconds
    And 1 second passes
    And runner 1 shuts down gracefully
    Then no request started at runner 1 later than 3 seconds after its shutdown began
    And no request was cut

  @upstream-shutdown @slow
  Scenario: Orders that wait for a slow store do not start at the runner
    When callers of "lamps" send 300 orders of 50 ms through all entry hosts over 8 seconds
    And 1 second passes
    And the store delays its responses by 800 ms
    And runner 1 shuts down gracefully
    Then no request started at runner 1 later than 3 seconds after its shutdown began

  @upstream-shutdown @freeze
  Scenario: An entry host that was frozen sends nothing to the runner
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 8 seconds
    And 1 second passes
    And runner 1 shuts down gracefully
    And entry host 1 is frozen for 4 seconds
    Then no request started at runner 1 later than 3 seconds after its shutdown began
    And at least 20 requests were answered

  @upstream-shutdown @kill @cut
  Scenario: The runner shuts down as another is killed and connections are cut
    When callers of "lamps" send 300 requests of 50 ms through all entry hosts over 7 seconds
    And 1 second passes
    And runner 1 shuts down gracefully
    And runner 2 is killed
    And the open connections to runner 3 are cut
    Then no request started at runner 1 later than 3 seconds after its shutdown began
    And at least 20 requests were answered
