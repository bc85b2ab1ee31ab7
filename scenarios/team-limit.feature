Feature: No team has more work running than its upper limit

  Background:
    Given seed 3
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots
    And the team "mills" has an upper limit of 4

  @team-limit
  Scenario: Callers ask for more than the limit
    When callers of "mills" send 240 requests of 100 ms through all entry hosts over 4 seconds
    Then no more than 4 requests of "mills" ever ran at the same time
    And at least 20 requests were answered
    And no request that was refused as not run was started

  @team-limit @cut
  Scenario: Work whose connection was closed counts until it has ended
    When callers of "mills" send 240 uploads of 300 ms through all entry hosts over 4 seconds
    And runner 1 closes connections when the work starts
    And runner 2 closes connections when the work starts
    Then no more than 4 requests of "mills" ever ran at the same time

  @team-limit @silent
  Scenario: Work on connections that went silent counts until it has ended
    When callers of "mills" send 240 requests of 300 ms through all entry hosts over 5 seconds
    And 1 second passes
    And open connections to runner 1 go silent
    And open connections to runner 2 go silent
    Then no more than 4 requests of "mills" ever ran at the same time
    And at least 20 requests were answered

  @team-limit @slow
  Scenario: The limit holds when a runner is slower than the deadline
    When callers of "mills" send 360 requests of 100 ms through all entry hosts over 6 seconds
    And runner 1 is 20 times slower
    And runner 2 is 20 times slower
    Then no more than 4 requests of "mills" ever ran at the same time
    And at least 20 requests were answered

  @team-limit @lost-answer
  Scenario: The limit holds while the store loses answers
    When callers of "mills" send 240 requests of 100 ms through all entry hosts over 4 seconds
    And the store loses 30 percent of its responses
    Then no more than 4 requests of "mills" ever ran at the same time
    And at least 20 requests were answered

  @team-limit @freeze @outage
  Scenario: An entry host is frozen while the store is down
    When callers of "mills" send 360 requests of 100 ms through all entry hosts over 6 seconds
    And 1 second passes
    And the store is down
    And 1 second passes
    And entry host 2 is frozen for 3 seconds
    Then no more than 4 requests of "mills" ever ran at the same time
    And at least 20 requests were answered

  @team-limit @kill
  Scenario: Permits of a killed entry host are not used twice
    When callers of "mills" send 300 requests of 600 ms through all entry hosts over 7 seconds
    And 1 second passes
    And entry host 1 is killed
    Then no more than 4 requests of "mills" ever ran at the same time
