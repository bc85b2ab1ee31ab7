Feature: An accepted configuration is in force within 3 seconds and never reverts

  Background:
    Given seed 31
    And 3 entry hosts in 3 availability zones and 4 runners with 8 slots

  @config-in-force
  Scenario: A lower limit is promoted
    When callers of "mills" send 360 requests of 150 ms through all entry hosts over 8 seconds
    And 1 second passes
    And the operator promotes an upper limit of 2 for "mills"
    Then no request of "mills" started beyond the promoted limit later than 3 seconds after the promotion
    And at least 20 requests were answered

  @config-in-force @race
  Scenario: Two operators promote different limits
    When callers of "mills" send 360 requests of 150 ms through all entry hosts over 8 seconds
    And 1 second passes
    And two operators promote upper limits of 2 and 3 for "mills" at the same time
    Then no request of "mills" started beyond the promoted limit later than 3 seconds after the promotion
    And at least 20 requests were answered

  @config-in-force @freeze
  Scenario: An entry host is frozen during the promotion
    When callers of "mills" send 360 requests of 150 ms through all entry hosts over 8 seconds
    And 1 second passes
    And entry host 3 is frozen for 4 seconds
    And the operator promotes an upper limit of 2 for "mills"
    Then no request of "mills" started beyond the promoted limit later than 3 seconds after the promotion
    And at least 20 requests were answered

  @config-in-force @cut
  Scenario: An entry host without the store gets the promotion from its peers
    When callers of "mills" send 360 requests of 150 ms through all entry hosts over 8 seconds
    And 1 second passes
    And the link between entry host 3 and the store is cut
    And the operator promotes an upper limit of 2 for "mills"
    Then no request of "mills" started beyond the promoted limit later than 3 seconds after the promotion
    And at least 20 requests were answered

  @config-in-force @kill @race
  Scenario: The entry host that took the promotion is killed and replaced
    When callers of "mills" send 360 requests of 150 ms through all entry hosts over 10 seconds
    And 1 second passes
    And the operator promotes an upper limit of 2 for "mills"
    And entry host 1 is killed
    And entry host 1 is replaced
    Then no request of "mills" started beyond the promoted limit later than 3 seconds after the promotion
    And at least 20 requests were answered
