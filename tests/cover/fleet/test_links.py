"""Properties of the decisions about connections, without any connection."""

from dataclasses import dataclass, field
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cowslipshelf_fleet.internal.envelope import MailboxPing, MailboxPong
from cowslipshelf_fleet.internal.link import (
    CloseConnection,
    DialAnew,
    ForgetPeer,
    PeerLink,
    SendPing,
)

TICK_SECONDS = 0.25
HEARTBEAT_SECONDS = 1.0
SILENCE_SECONDS = 3.0
IDLE_SECONDS = 10.0
WINDOW_BYTES = 1000
DELAYS = st.tuples(st.integers(0, 4), st.integers(0, 4))
MANY = settings(derandomize=True, deadline=None, max_examples=200)


def new_link(now: float = 0.0) -> PeerLink:
    return PeerLink(
        heartbeat_seconds=HEARTBEAT_SECONDS,
        silence_seconds=SILENCE_SECONDS,
        idle_seconds=IDLE_SECONDS,
        most_unanswered_bytes=WINDOW_BYTES,
        needed_until=now,
        asked_until=now + SILENCE_SECONDS,
    )


@dataclass
class Side:
    """Run one side of a pair of links, as a mailbox would."""

    link: PeerLink
    delay_ticks: int = 0
    outbox: list = field(default_factory=list)
    inbox: list = field(default_factory=list)
    closed: int = 0
    forgotten: bool = False

    def tick(self, now: float, random: Random) -> None:
        if self.forgotten:
            return
        for effect in self.link.tick(now, random):
            match effect:
                case DialAnew():
                    self.link.dial(now)
                case SendPing(ping):
                    self.outbox.append(ping)
                case CloseConnection():
                    self.closed += 1
                case ForgetPeer():
                    self.forgotten = True

    def take(self, message, now: float) -> None:
        if self.forgotten:
            if not isinstance(message, MailboxPing) or message.answering:
                return
            self.link, self.forgotten = new_link(now), False
        match message:
            case MailboxPing():
                self.link.heard_ping(message, now)
                if not self.link.dialled:
                    self.link.dial(now)
                self.outbox.append(MailboxPong(message.connection, message.sent_bytes))
            case MailboxPong():
                self.link.heard_pong(message, now)


def run_pair(
    uses: list[bool], ticks: int, delivers: bool, delays: tuple[int, int] = (0, 0)
) -> tuple[Side, Side]:
    """Tick two sides; the first uses its link at the first ticks, as listed."""
    random = Random(0)
    sides = (Side(new_link(), delays[0]), Side(new_link(), delays[1]))
    for tick in range(ticks):
        now = tick * TICK_SECONDS
        if tick < len(uses) and uses[tick]:
            if sides[0].forgotten:
                sides[0].link, sides[0].forgotten = new_link(now), False
            sides[0].link.use(now)
        for side, other in (sides, sides[::-1]):
            side.tick(now, random)
            while side.inbox and side.inbox[0][0] <= tick:
                side.take(side.inbox.pop(0)[1], now)
            due = tick + other.delay_ticks
            other.inbox += [(due, message) for message in side.outbox if delivers]
            side.outbox = []
    return sides


@MANY
@given(st.lists(st.booleans(), max_size=200), DELAYS)
def test_a_connection_that_delivers_is_never_closed(uses, delays):
    first, second = run_pair(uses, 200, delivers=True, delays=delays)
    assert first.closed == second.closed == 0


@MANY
@given(st.lists(st.booleans(), max_size=100), DELAYS)
@example([True], (0, 0))
def test_two_unused_peers_let_go_of_each_other(uses, delays):
    """Heartbeats must end: each side's answers could keep the other one awake."""
    last_use = IDLE_SECONDS + 4 * SILENCE_SECONDS
    ticks = len(uses) + int(last_use / TICK_SECONDS)
    first, second = run_pair(uses, ticks, delivers=True, delays=delays)
    assert first.forgotten and second.forgotten


@MANY
@given(st.integers(1, 100))
def test_a_used_connection_that_delivers_nothing_is_closed_in_time(seconds):
    ticks = int(seconds / TICK_SECONDS)
    first, _ = run_pair([True] * ticks, ticks, delivers=False)
    longest_round = 2 * SILENCE_SECONDS + 2 * TICK_SECONDS
    assert first.closed >= int(seconds / longest_round)


@MANY
@given(st.lists(st.integers(1, 400), max_size=30), st.integers(0, 400))
def test_bytes_that_wait_for_a_peer_are_bounded(sizes, answered):
    link = new_link()
    link.dial(0.0)
    for size in sizes:
        if link.admits(size):
            link.sent(size)
        if link.sent_bytes == answered:
            link.heard_pong(MailboxPong(link.connection, answered), 0.0)
        assert link.sent_bytes - link.answered_bytes <= WINDOW_BYTES


@MANY
@given(st.integers(0, 5), st.integers(1, 5))
def test_an_answer_to_an_old_connection_vouches_for_nothing(old, dials):
    """Late pongs of a replaced connection must not keep a silent new one open."""
    link = new_link()
    for _ in range(dials):
        link.dial(0.0)
    link.sent(500)
    link.heard_pong(MailboxPong(old, 500), 1.0)
    present = old == link.connection
    assert (link.answered_bytes == 500) == present
    assert (link.answered_at == 1.0) == present
