Feature: The availability budget of a service holds

  Background:
    Given seed 37
    And 3 entry hosts in 3 availability zones and 6 runners with 8 slots

  @availability-budget
  Scenario: A zone is taken out
    When callers of "lamps" send 600 requests of 100 ms through the load balancer over 6 seconds
    And 1 second passes
    And the operator takes zone "a" out
    Then the share of answered requests is within the availability budget
    And no request was cut

  @availability-budget @outage
  Scenario: The store is down
    When callers of "lamps" send 600 requests of 100 ms through the load balancer over 6 seconds
    And 1 second passes
    And the store is down
    Then the share of answered requests is within the availability budget
    And no request was cut

  @availability-budget @silent
  Scenario: Open connections to two runners go silent
    When callers of "lamps" send 600 requests of 100 ms through the load balancer over 6 seconds
    And 1 second passes
    And open connections to runner 1 go silent
    And open connections to runner 2 go silent
    Then the share of answered requests is within the availability budget
    And every response is complete and belongs to its own request

  @availability-budget @cut
  Scenario: A runner fails everything and the link to another is cut
    When callers of "lamps" send 600 requests of 100 ms through the load balancer over 6 seconds
    And 1 second passes
    And runner 1 fails all requests
    And the link to runner 2 is cut for 3 seconds
    Then the share of answered requests is within the availability budget
    And every response is complete and belongs to its own request

  @availability-budget @kill
  Scenario: An entry host is killed as a zone is taken out
    When callers of "lamps" send 600 requests of 100 ms through the load balancer over 6 seconds
    And 1 second passes
    And the operator takes zone "a" out
    And entry host 2 is killed
    Then the share of answered requests is within the availability budget
    And every response is complete and belongs to its own request
