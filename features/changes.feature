Feature: faults at the steps of a change

  Each row injects a fault when a confirmed change first reaches a step. Three
  replicas commit the change and apply it to the control state; entries and sidecars
  without a replica put it in force. A rival change based on the same version is
  confirmed too, either concurrently or after all repairs.

  Excluded combinations: engines hold no configuration, so their crashes, pauses and
  connections affect no step of a change. "drain while busy" is itself a change; its
  effect on requests is tested in requests.feature.

  Scenario Outline: The leader dies
    The operator's confirm gets no answer, and goes to the next leader, perhaps twice.
    Cause: the replica that had it is killed before or after it was durable.
    Given a change that an operator confirms, and its rival
    When "leader killed" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: The leader is cut off, and comes back
    It believes itself in charge and can commit nothing. When it comes back its log is
    cut to what the others have agreed on.
    Given a change that an operator confirms, and its rival
    When "leader isolated and later back" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: The leader stands still
    Another leads meanwhile. The first goes on as a leader of an old term, with what was
    sent to it while it stood still, and may not answer for the new one.
    Given a change that an operator confirms, and its rival
    When "leader frozen and resumed" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: The entry that brought the change dies
    The operator never hears of the change and sends it again through another entry.
    The entry starts anew and serves nothing until a quorum has told it the version.
    Given a change that an operator confirms, and its rival
    When "entry killed" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: A sidecar dies
    It starts anew without a configuration, and hears of old versions on its way to the
    new one. Cause: every message carries its sender's version, old ones too.
    Given a change that an operator confirms, and its rival
    When "sidecar killed" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: The leader loses its disk
    It comes back empty, under a new identity, and has no vote until it was taken in as
    a learner and caught up. Cause: a replaced machine.
    Given a change that an operator confirms, and its rival
    When "disk lost" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: A second disk is lost right after the first is repaired
    The second replica goes the moment the first is whole. What was confirmed is then on
    one old disk and on one that has only just caught up.
    Given a change that an operator confirms, and its rival
    When "second loss after a repair" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: A replica comes back after hundreds of changes
    It was down while 200 further changes were confirmed, and its log is not kept that
    far back: it catches up by a snapshot and the tail, and skips no version.
    Given a change that an operator confirms, and its rival
    When "restart after hundreds of changes" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: The leader's connections go silent for good
    The entry's connection to the leader and one follower's go silent, while all others
    work. The entry turns to another replica.
    Given a change that an operator confirms, and its rival
    When "connection silent" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: Messages come late
    All that is sent in that moment comes much later, after it was sent again and
    answered. Old snapshots of the configuration arrive after newer ones.
    Given a change that an operator confirms, and its rival
    When "message late" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: Messages cross
    What is sent last comes first: votes, entries, answers and configurations.
    Given a change that an operator confirms, and its rival
    When "message crossed" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: Messages come twice
    Confirms, entries, votes and configurations come twice at once, and once more later.
    Given a change that an operator confirms, and its rival
    When "message doubled" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: Two operators race with equal numbers
    Both planned on the same version and confirm at once. One is told that it is in
    force; the other gets a conflict and a fresh plan on top.
    Given a change that an operator confirms, and its rival
    When "operators racing with equal numbers" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |

  Scenario Outline: The answer is lost, and the change sent again
    The change took effect and its operator does not know. The resend must not count
    as another change, nor lose to itself.
    Given a change that an operator confirms, and its rival
    When "answer to a change lost and the change resent" comes at "<step>"
    Then one of the two is in force in every process, and no version goes back
    And a resend through another entry gets the first answer

    Examples:
      | step               |
      | proposed           |
      | synced at one      |
      | synced at a quorum |
      | applied            |
      | in force           |
