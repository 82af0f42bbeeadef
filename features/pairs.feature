Feature: two faults at one step

  Each pair of faults is injected at the same step at the same time, so that the
  second comes before any process has detected the first. The guarantees are the same.

  Excluded pairs: any two of "disk lost", "second loss after a repair" and "restart
  after hundreds of changes" take down two of three replicas at once.

  Scenario Outline: A request meets two faults
    A rack goes: the clerk's entry and her engine fail in one moment. Her request ends
    in time, with its own answer or a true refusal, and runs once if it must.
    Given a request of each kind, which its caller sends again
    Then any two faults of these at "<step>" keep every promise
      | fault                          |
      | engine killed                  |
      | sidecar killed                 |
      | entry killed                   |
      | leader killed                  |
      | leader isolated and later back |
      | engine frozen and resumed      |
      | sidecar frozen and resumed     |
      | entry frozen and resumed       |
      | connection silent              |
      | engine connection silent       |
      | message late                   |
      | message crossed                |
      | message doubled                |
      | drain while busy               |
      | shutdown while busy            |

    Examples:
      | step                   |
      | admitted               |
      | claimed                |
      | handed over            |
      | accepted by the engine |
      | first token            |
      | mid-stream             |
      | last token             |
      | answer stored          |

  Scenario Outline: A change meets two faults
    The leader dies while messages cross, or is cut off while another disk is lost. The
    operator's confirmed change stays, everywhere, and its rival does not.
    Given a change that an operator confirms, and its rival
    Then any two faults of these at "<step>" keep every promise
      | fault                                         |
      | leader killed                                 |
      | leader isolated and later back                |
      | leader frozen and resumed                     |
      | entry killed                                  |
      | sidecar killed                                |
      | disk lost                                     |
      | second loss after a repair                    |
      | restart after hundreds of changes             |
      | connection silent                             |
      | message late                                  |
      | message crossed                               |
      | message doubled                               |
      | operators racing with equal numbers           |
      | answer to a change lost and the change resent |

    Examples:
      | step             |
      | proposed         |
      | synced at one    |
      | synced at a quorum |
      | applied          |
      | in force         |

  Scenario Outline: A claim meets two faults of replicas
    The leader stands still while a follower's disk is lost. A key that was granted is
    not granted again, and its stored answer is there for the resend.
    Given a key in the replicated state
    Then any two faults of these at "<step>" keep every promise
      | fault                             |
      | disk lost                         |
      | second loss after a repair        |
      | restart after hundreds of changes |
      | leader killed                     |
      | leader isolated and later back    |
      | leader frozen and resumed         |

    Examples:
      | step          |
      | claimed       |
      | answer stored |
