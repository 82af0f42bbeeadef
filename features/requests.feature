Feature: faults at the steps of a request

  Each row injects a fault at a step of a request, for four kinds of requests: with an
  idempotency key, streamed and repeatable, not streamed, and to a service that must
  run each request once. Another caller's request runs concurrently. Every engine
  ignores the first cancel of each attempt. Time is simulated.

  Excluded combinations: "claimed" and "answer stored" are steps of keyed requests
  only. "disk lost", "second loss after a repair" and "restart after hundreds of
  changes" affect replicas, which hold nothing of a request but its claim, so they are
  in claims.feature. Races of operators and lost answers to changes affect no request.

  Scenario Outline: An engine dies
    A clerk waits for a summary when the engine dies, and comes back empty a second
    later. What may be repeated is continued elsewhere; what must run once ends with
    "failed" or "outcome unknown", at once. Cause: a crash loses what ran there.
    Given a request of each kind, which its caller sends again
    When "engine killed" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: A sidecar dies
    The clerk's stream is cut; the engine goes on for nobody. The sidecar comes back
    without memory under a new epoch, refuses old attempts and frees what the engine
    holds. Cause: the process beside the engine is killed.
    Given a request of each kind, which its caller sends again
    When "sidecar killed" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: An entry dies
    The clerk's connection is cut, and she sends again through another entry. What ran
    under her key does not run again, and nobody's memory stays behind. Cause: the
    process that held her connection is killed.
    Given a request of each kind, which its caller sends again
    When "entry killed" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: The leader of the replicas dies
    A keyed request waits for its claim, or its whole answer for being stored, until
    another replica leads. Commands whose answers were lost are committed twice.
    Given a request of each kind, which its caller sends again
    When "leader killed" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: The leader is cut off for longer than anybody waits
    No claim can be committed for a while. The clerk's resends are refused without the
    words "not run", since nobody can tell them whether the first one ran.
    Given a request of each kind, which its caller sends again
    When "leader isolated and later back" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: An engine stands still
    The engine stops in the middle of its work, keeps its connections open, and goes
    on 12 seconds later, when everybody has given its attempts up. Cause: a stopped
    process; its late pieces and its memory are nobody's any more.
    Given a request of each kind, which its caller sends again
    When "engine frozen and resumed" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: A sidecar stands still
    The entry sees silence, cannot resume and cannot revoke. The sidecar goes on later
    with all that was sent to it meanwhile. Cause: a stopped process.
    Given a request of each kind, which its caller sends again
    When "sidecar frozen and resumed" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: An entry stands still
    The entry stops for longer than its lease at the sidecars, which give its attempts
    up. It goes on with old news and may not hand over what others have settled.
    Given a request of each kind, which its caller sends again
    When "entry frozen and resumed" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: Open connections go silent for good
    Messages on their way vanish, and the open streams say nothing more, while new
    connections work. Cause: something between the two ends has lost track of them.
    Given a request of each kind, which its caller sends again
    When "connection silent" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: The sidecar's connections to its engine go silent
    The engine finishes the answer, and no piece of it arrives. The sidecar asks on a
    new connection for what follows the last piece.
    Given a request of each kind, which its caller sends again
    When "engine connection silent" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: Messages come late
    What is sent at that moment comes 8 seconds later, after it was given up and other
    messages have settled the matter. Cause: queues on the way that empty late.
    Given a request of each kind, which its caller sends again
    When "message late" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: Messages cross
    What is sent last comes first, and each request is given the answers of the other's
    attempts. A cancel may overtake its hand-over, a claim the one before it.
    Given a request of each kind, which its caller sends again
    When "message crossed" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: Messages come twice, and once more much later
    A hand-over, a cancel, a claim and a frame come twice. The copy must not run, free
    another's memory or show in the answer. Cause: a retry below us.
    Given a request of each kind, which its caller sends again
    When "message doubled" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: An operator drains the upstream
    The operator drains the upstream that the request is going to; the entry has not
    heard of it. What was taken finishes; what was not goes elsewhere, truly not run.
    Given a request of each kind, which its caller sends again
    When "drain while busy" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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

  Scenario Outline: The sidecar is told to end
    The platform ends the upstream's slot. The sidecar takes nothing new from then on, and
    the clerk's running answer is finished, not cut.
    Given a request of each kind, which its caller sends again
    When "shutdown while busy" comes at "<step>"
    Then each caller gets one answer in time, its own and whole, or a true refusal
    And what must run once has run at most once
    And no engine holds memory for it after the sidecar's bound
    And an upstream that leaves is given nothing new

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
