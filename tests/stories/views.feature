Feature: Group views, the list of dispatchers that all members agree on
  A view is a numbered list of dispatchers. All its members hold the same one; a dispatcher in no view decides nothing.

  Scenario: The first view needs all founders
    Given 5 dispatchers that start without dispatcher 1, a founder
    When 20 seconds pass
    Then dispatchers 0 and 2 to 4 are in no view
    And dispatcher 0 says "waits for m0001"
    When dispatcher 1 starts
    Then within 10 seconds all running dispatchers are in one view

  Scenario: The first view forms without a dispatcher that is not a founder
    Given 5 dispatchers that start without dispatcher 4, no founder
    Then within 10 seconds all running dispatchers are in one view
    When dispatcher 4 starts
    Then within 10 seconds all running dispatchers are in one view

  Scenario: A killed dispatcher is removed within three seconds
    Given a fleet of 12 dispatchers in one view
    When dispatcher 5 is killed
    Then within 3 seconds all running dispatchers are in one view
    And no healthy dispatcher was removed

  Scenario: Four dispatchers killed at once are removed by one change
    Given a fleet of 12 dispatchers in one view
    When dispatchers 3 to 6 are killed
    Then within 4 seconds all running dispatchers are in one view
    And the view's number is 1 higher

  Scenario: Loss of a third of all datagrams removes no dispatcher
    Given a fleet of 12 dispatchers in one view
    And 30% of all datagrams are lost
    When 120 seconds pass
    Then the view's number is 0 higher
    And no healthy dispatcher was removed

  Scenario: A killed dispatcher is removed despite the loss of a third of all datagrams
    Given a fleet of 12 dispatchers in one view
    And 30% of all datagrams are lost
    When dispatcher 7 is killed
    Then within 8 seconds all running dispatchers are in one view
    And no healthy dispatcher was removed

  Scenario: A dispatcher that receives nothing removes no other
    Given a fleet of 9 dispatchers in one view
    When dispatcher 4 receives nothing any more
    And 30 seconds pass
    Then dispatcher 4 is in no view
    And dispatchers 0 to 3 are in a view
    And dispatchers 5 to 8 are in a view
    And no other than dispatcher 4 was removed

  Scenario: A dispatcher whose messages are lost is removed, and joins again when they arrive
    Given a fleet of 9 dispatchers in one view
    When nothing that dispatcher 4 sends arrives any more
    And 30 seconds pass
    Then dispatcher 4 is in no view
    And no other than dispatcher 4 was removed
    When all links work again
    Then within 30 seconds all running dispatchers are in one view

  Scenario: Two dispatchers that cannot reach each other stay, as the others reach both
    Given a fleet of 9 dispatchers in one view
    When dispatchers 2 and 3 cannot reach each other
    And 60 seconds pass
    Then the view's number is 0 higher
    And dispatchers 0 to 8 are in a view

  Scenario: The larger side of a partition goes on, the smaller is in no view
    Given a fleet of 9 dispatchers in one view
    When dispatchers 0 to 3 cannot reach dispatchers 4 to 8
    Then within 6 seconds dispatchers 0 to 3 are in no view
    And within 10 seconds dispatchers 4 to 8 are in one view without the others
    When all links work again
    Then within 30 seconds all running dispatchers are in one view

  Scenario: A partition in one direction counts as a partition
    Given a fleet of 9 dispatchers in one view
    When dispatchers 4 to 8 receive nothing from dispatchers 0 to 3
    Then within 8 seconds dispatchers 0 to 3 are in no view
    And dispatchers 4 to 8 are in a view
    When all links work again
    Then within 30 seconds all running dispatchers are in one view

  Scenario: Two equal halves are both in no view
    Given a fleet of 8 dispatchers in one view
    When dispatchers 0 to 3 cannot reach dispatchers 4 to 7
    Then within 6 seconds dispatchers 0 to 7 are in no view
    When 30 seconds pass
    Then dispatchers 0 to 7 are in no view
    When all links work again
    Then within 10 seconds all running dispatchers are in one view

  Scenario: Without a majority there is no view
    Given a fleet of 7 dispatchers in one view
    When dispatchers 3 to 6 are killed
    And 30 seconds pass
    Then dispatchers 0 to 2 are in no view
    And the view's number is 0 higher

  Scenario: Short pauses remove no dispatcher
    Given a fleet of 12 dispatchers in one view
    When dispatchers 0 to 3 stop for 1.5 seconds in every 4 for 60 seconds
    And 60 seconds pass
    Then the view's number is 0 higher
    And no healthy dispatcher was removed

  Scenario: A dispatcher after a long pause is in no view, and joins again with a new entry
    Given a fleet of 7 dispatchers in one view
    When dispatcher 6 is stopped for 30 seconds
    And 29 seconds pass
    Then dispatchers 0 to 5 are in one view without the others
    When 1.1 seconds pass
    Then dispatcher 6 is in no view
    And within 30 seconds all running dispatchers are in one view
    And dispatcher 6 has a new entry

  Scenario: A restarted dispatcher joins with a new entry
    Given a fleet of 7 dispatchers in one view
    When dispatcher 3 is killed and restarts at once
    Then within 20 seconds all running dispatchers are in one view
    And dispatcher 3 has a new entry

  Scenario: A dispatcher that leaves is removed at once
    Given a fleet of 7 dispatchers in one view
    When dispatcher 2 leaves
    Then within 1 seconds all running dispatchers are in one view
    And the view's number is 1 higher

  Scenario: A dispatcher that is removed repeatedly waits longer each time before it joins
    Given a fleet of 7 dispatchers in one view
    When dispatcher 6 is removed and joins again 3 times
    Then each rejoin took longer than the one before

  Scenario: A second process with the same name is refused with the reason
    Given a fleet of 7 dispatchers in one view
    When another process starts with the name of dispatcher 3
    And 10 seconds pass
    Then the other process says "name is taken"
    And dispatchers 0 to 6 are in a view

  Scenario: After a restart of all dispatchers view numbers go on rising
    Given a fleet of 7 dispatchers in one view
    When dispatchers 0 to 6 are killed
    And 5 seconds pass
    And dispatchers 0 to 6 start again with their stored state
    Then within 30 seconds all running dispatchers are in one view
    And the view's number is higher than all before

  Scenario: Founders that are cut off and restarted found no second fleet
    Given a fleet of 9 dispatchers in one view
    When dispatchers 0 to 2 cannot reach dispatchers 3 to 8
    And dispatchers 0 to 2 are killed and restart at once
    And 60 seconds pass
    Then dispatchers 0 to 2 are in no view
    And dispatchers 3 to 8 are in one view without the others
