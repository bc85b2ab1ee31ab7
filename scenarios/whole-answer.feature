Feature: A caller receives the complete response to its own request

  Background:
    Given seed 13
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @whole-answer @slow
  Scenario: A runner answers late
    When callers of "lamps" send 200 requests of 20 ms through all entry hosts over 4 seconds
    And callers of "mills" send 100 uploads of 20 ms through all entry hosts over 4 seconds
    And runner 1 delays its responses by 3000 ms
    Then every response is complete and belongs to its own request
    And at least 20 requests were answered

  @whole-answer @race
  Scenario: A runner crosses its answers
    When callers of "lamps" send 200 requests of 20 ms through all entry hosts over 4 seconds
    And callers of "mills" send 100 uploads of 20 ms through all entry hosts over 4 seconds
    And runner 1 responds with the id of another request
    Then every response is complete and belongs to its own request
    And at least 20 requests were answered

  @whole-answer @cut
  Scenario: A runner cuts its answers in half
    When callers of "lamps" send 200 requests of 20 ms through all entry hosts over 4 seconds
    And callers of "mills" send 100 uploads of 20 ms through all entry hosts over 4 seconds
    And runner 1 closes connections after half of each response
    Then every response is complete and belongs to its own request
    And at least 20 requests were answered

  @whole-answer @silent
  Scenario: Open connections to a runner go silent
    When callers of "lamps" send 200 requests of 20 ms through all entry hosts over 4 seconds
    And callers of "mills" send 100 uploads of 20 ms through all entry hosts over 4 seconds
    And 1 second passes
    And open connections to runner 1 go silent
    Then every response is complete and belongs to its own request
    And at least 20 requests were answered

  @whole-answer @race @slow
  Scenario: Answers are crossed and late at the same time
    When callers of "lamps" send 200 requests of 20 ms through all entry hosts over 4 seconds
    And callers of "mills" send 100 uploads of 20 ms through all entry hosts over 4 seconds
    And runner 1 responds with the id of another request
    And runner 1 delays its responses by 1500 ms
    And runner 2 delays its responses by 1500 ms
    Then every response is complete and belongs to its own request
    And at least 20 requests were answered

  @whole-answer @kill
  Scenario: An entry host and a runner are killed
    When callers of "lamps" send 200 requests of 20 ms through all entry hosts over 4 seconds
    And callers of "mills" send 100 uploads of 20 ms through all entry hosts over 4 seconds
    And 1 second passes
    And entry host 2 is killed
    And runner 3 is killed
    Then every response is complete and belongs to its own request
    And at least 20 requests were answered
