Feature: A planned stop interrupts no request

  Background:
    Given seed 29
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @planned-stop
  Scenario: An entry host stops
    When callers of "lamps" send 200 requests of 50 ms through the load balancer over 5 seconds
    And callers of "mills" send 40 merges of 1500 ms through the load balancer over 3 seconds
    And 1 second passes
    And entry host 1 receives SIGTERM
    Then no request was cut
    And every request was answered
    And every entry host that received SIGTERM exited with status 0

  @planned-stop @race
  Scenario: Two entry hosts stop at the same time
    When callers of "lamps" send 200 requests of 50 ms through the load balancer over 5 seconds
    And callers of "mills" send 40 merges of 1500 ms through the load balancer over 3 seconds
    And 1 second passes
    And entry host 1 receives SIGTERM
    And entry host 2 receives SIGTERM
    Then no request was cut
    And every entry host that received SIGTERM exited with status 0

  @planned-stop @slow
  Scenario: An entry host stops while the store is slow and runners answer late
    When callers of "lamps" send 200 requests of 50 ms through the load balancer over 5 seconds
    And callers of "mills" send 40 merges of 1000 ms through the load balancer over 3 seconds
    And the store delays its responses by 500 ms
    And runner 1 delays its responses by 1500 ms
    And 1 second passes
    And entry host 1 receives SIGTERM
    Then no request was cut
    And every entry host that received SIGTERM exited with status 0

  @planned-stop @cut @lost-answer
  Scenario: An entry host stops without its link to the store
    When callers of "lamps" send 200 requests of 50 ms through the load balancer over 5 seconds
    And callers of "mills" send 40 merges of 1000 ms through the load balancer over 3 seconds
    And 1 second passes
    And the store loses 30 percent of its responses
    And the link between entry host 1 and the store is cut
    And entry host 1 receives SIGTERM
    Then no request was cut
    And every entry host that received SIGTERM exited with status 0
