"""Test the decisions about connections, without real connections."""

from dataclasses import dataclass, field
from random import Random

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cowslipshelf_fleet.internal.envelope import MailboxHeartbeat
from cowslipshelf_fleet.internal.link import (
    CloseConnection,
    ForgetPeer,
    OpenConnection,
    PeerLink,
    SendHeartbeat,
)

TICK_SECONDS = 0.25
HEARTBEAT_SECONDS = 1.0
SILENCE_SECONDS = 3.0
IDLE_SECONDS = 10.0
WINDOW_BYTES = 1000
FIRST_NUMBER = 1000
DELAYS = st.tuples(st.integers(0, 4), st.integers(0, 4))
NUMBERS = st.sampled_from([1, 2 * FIRST_NUMBER])
MANY = settings(derandomize=True, deadline=None, max_examples=200)


def new_link(now: float = 0.0, number: int = FIRST_NUMBER) -> PeerLink:
    return PeerLink(
        heartbeat_seconds=HEARTBEAT_SECONDS,
        silence_seconds=SILENCE_SECONDS,
        idle_seconds=IDLE_SECONDS,
        max_unacknowledged_bytes=WINDOW_BYTES,
        needed_until=now,
        peer_needed_until=now + SILENCE_SECONDS,
        last_number=number,
    )


@dataclass
class LinkSide:
    """Drive one side of a pair of links, as a mailbox does."""

    link: PeerLink
    delay_ticks: int = 0
    outbox: list = field(default_factory=list)
    inbox: list = field(default_factory=list)
    sent: int = 0
    closed: int = 0
    forgotten: bool = False

    def tick(self, now: float, random: Random) -> None:
        if self.forgotten:
            return
        for effect in self.link.tick(now, random):
            match effect:
                case OpenConnection():
                    self.link.dial(now)
                case SendHeartbeat(heartbeat):
                    self.outbox.append(heartbeat)
                case CloseConnection():
                    self.closed += 1
                case ForgetPeer():
                    self.forgotten = True

    def receive(self, heartbeat: MailboxHeartbeat, now: float) -> None:
        if self.forgotten:
            if not heartbeat.in_use:
                return
            self.link, self.forgotten = new_link(now), False
        self.link.record_heartbeat(heartbeat, now)
        if not self.link.dialled:
            self.link.dial(now)
        if heartbeat.reply_requested:
            self.outbox.append(self.link.next_heartbeat(now, reply_requested=False))


def answer_to(number: int, sent_bytes: int = 0) -> MailboxHeartbeat:
    return MailboxHeartbeat(
        number=7,
        sent_bytes=0,
        in_use=True,
        reply_requested=False,
        acknowledged_number=number,
        acknowledged_bytes=sent_bytes,
    )


def run_pair(
    uses: list[bool],
    ticks: int,
    delays: tuple[int, int] = (0, 0),
    other_number: int = 2 * FIRST_NUMBER,
    silent_from: int | None = None,
) -> tuple[LinkSide, LinkSide]:
    """Tick two sides; the first one uses its link at the ticks marked in `uses`.

    From `silent_from` on, everything that the first side sends is lost. The other
    side's heartbeats still arrive, and if `silent_from` is set it uses its link too.
    """
    random = Random(0)
    other_link = new_link(number=other_number)
    sides = (LinkSide(new_link(), delays[0]), LinkSide(other_link, delays[1]))
    for tick in range(ticks):
        now = tick * TICK_SECONDS
        if tick < len(uses) and uses[tick]:
            if sides[0].forgotten:
                sides[0].link, sides[0].forgotten = new_link(now), False
            sides[0].link.record_use(now)
        if silent_from is not None:
            sides[1].link.record_use(now)
        for side, other in (sides, sides[::-1]):
            side.tick(now, random)
            while side.inbox and side.inbox[0][0] <= tick:
                side.receive(side.inbox.pop(0)[1], now)
            due = tick + other.delay_ticks
            if side is sides[1] or silent_from is None or tick < silent_from:
                other.inbox += [(due, message) for message in side.outbox]
            side.sent += len(side.outbox)
            side.outbox = []
    return sides


@MANY
@given(st.lists(st.booleans(), max_size=200), DELAYS, NUMBERS)
def test_a_connection_that_delivers_is_never_closed(uses, delays, number):
    first, second = run_pair(uses, 200, delays, number)
    assert first.closed == second.closed == 0


@MANY
@given(st.lists(st.booleans(), max_size=100), DELAYS, NUMBERS)
@example([True], (0, 0), 2 * FIRST_NUMBER)
def test_two_unused_peers_forget_each_other(uses, delays, number):
    """The answers of each side could keep the heartbeats of the other one going."""
    last_use = IDLE_SECONDS + 4 * SILENCE_SECONDS
    ticks = len(uses) + int(last_use / TICK_SECONDS)
    first, second = run_pair(uses, ticks, delays, number)
    assert first.forgotten and second.forgotten


@MANY
@given(st.tuples(st.integers(0, 1), st.integers(0, 1)), NUMBERS)
def test_a_pair_in_use_exchanges_two_heartbeats_in_each_interval(delays, number):
    """Control traffic may use a few percent of a core, most of it for heartbeats."""
    seconds = 100
    ticks = int(seconds / TICK_SECONDS)
    first, second = run_pair([True] * ticks, ticks, delays, number)
    first_exchange = 4
    allowed = 2 * seconds / HEARTBEAT_SECONDS + first_exchange
    assert first.sent + second.sent <= allowed


@MANY
@given(st.integers(0, 200), st.integers(1, 100), DELAYS, NUMBERS)
def test_a_connection_gone_silent_is_closed_in_time(start, seconds, delays, number):
    """The connection from the peer may still work, so that its heartbeats arrive.

    They repeat the last acknowledgement before the silence, which is not a new one.
    """
    ticks = start + int(seconds / TICK_SECONDS)
    first, _ = run_pair([True] * ticks, ticks, delays, number, silent_from=start)
    last_answer = sum(delays) * TICK_SECONDS
    longest_round = 2 * SILENCE_SECONDS + 2 * TICK_SECONDS
    assert first.closed >= int((seconds - last_answer) / longest_round)


@MANY
@given(st.lists(st.integers(1, 400) | st.none(), max_size=60))
def test_bytes_that_wait_for_a_peer_are_bounded(steps):
    """Steps are sizes of offered messages, or None for a heartbeat answered late."""
    link, unanswered = new_link(), []
    link.dial(0.0)
    for step in steps:
        if step is None:
            unanswered.append(link.next_heartbeat(0.0, reply_requested=False))
            answered = unanswered[len(unanswered) // 2]
            link.record_heartbeat(answer_to(answered.number, answered.sent_bytes), 0.0)
        elif link.can_send(step):
            link.record_sent(step)
        assert 0 <= link.sent_bytes - link.acknowledged_bytes <= WINDOW_BYTES


@MANY
@given(st.lists(st.integers(0, 3), min_size=1, max_size=5), st.integers(-5, 20))
def test_only_a_new_answer_to_the_current_connection_confirms_it(
    heartbeat_counts, acknowledged
):
    """Late answers to a replaced connection must not keep a silent new one open.

    Nor may a repeated answer, since each heartbeat of the peer repeats the last number
    it received, or an answer to an earlier start of this process.
    """
    link = new_link()
    for heartbeat_count in heartbeat_counts:
        link.dial(0.0)
        current = [
            link.next_heartbeat(0.0, reply_requested=False).number
            for _ in range(heartbeat_count)
        ]
    acknowledged += FIRST_NUMBER
    link.record_heartbeat(answer_to(acknowledged), 1.0)
    assert (link.acknowledged_at == 1.0) == (acknowledged in current)
    link.record_heartbeat(answer_to(acknowledged), 2.0)
    assert link.acknowledged_at < 2.0
