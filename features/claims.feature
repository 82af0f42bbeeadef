Feature: faults of replicas at the steps of a claim

  A claim, and the answer stored under it, are commands to the replicas. Each row
  injects the fault at each state of that command: proposed, synced at one, synced at
  a quorum, applied. If the loss of a disk lost the claim, a caller's payment would
  run twice, or its stored answer would be gone.

  Scenario Outline: The leader loses its disk
    It comes back empty, under a new identity, and has no vote until it was taken in as
    a learner and caught up. Cause: a replaced machine.
    Given a key in the replicated state
    When "disk lost" comes at "<step>"
    Then the key is claimed once, and its answer is kept

    Examples:
      | step          |
      | claimed       |
      | answer stored |

  Scenario Outline: A second disk is lost right after the first is repaired
    The second replica goes the moment the first is whole. What was confirmed is then on
    one old disk and on one that has only just caught up.
    Given a key in the replicated state
    When "second loss after a repair" comes at "<step>"
    Then the key is claimed once, and its answer is kept

    Examples:
      | step          |
      | claimed       |
      | answer stored |

  Scenario Outline: A replica comes back after hundreds of changes
    It was down while 200 further changes were confirmed, and its log is not kept that
    far back: it catches up by a snapshot and the tail, and skips no version.
    Given a key in the replicated state
    When "restart after hundreds of changes" comes at "<step>"
    Then the key is claimed once, and its answer is kept

    Examples:
      | step          |
      | claimed       |
      | answer stored |

  Scenario Outline: The leader dies
    The operator's confirm gets no answer, and goes to the next leader, perhaps twice.
    Cause: the replica that had it is killed before or after it was durable.
    Given a key in the replicated state
    When "leader killed" comes at "<step>"
    Then the key is claimed once, and its answer is kept

    Examples:
      | step          |
      | claimed       |
      | answer stored |

  Scenario Outline: The leader is cut off, and comes back
    It believes itself in charge and can commit nothing. When it comes back its log is
    cut to what the others have agreed on.
    Given a key in the replicated state
    When "leader isolated and later back" comes at "<step>"
    Then the key is claimed once, and its answer is kept

    Examples:
      | step          |
      | claimed       |
      | answer stored |

  Scenario Outline: The leader stands still
    Another leads meanwhile. The first goes on as a leader of an old term, with what was
    sent to it while it stood still, and may not answer for the new one.
    Given a key in the replicated state
    When "leader frozen and resumed" comes at "<step>"
    Then the key is claimed once, and its answer is kept

    Examples:
      | step          |
      | claimed       |
      | answer stored |
