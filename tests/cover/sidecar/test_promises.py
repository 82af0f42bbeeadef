"""Check what a sidecar promises, whatever is lost, late, doubled or restarted."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from common.sidecars import MEMORY_TOKENS, configuration, hand_over, sidecar
from cowslipshelf_core.errors import Refusal, RefusalCode
from cowslipshelf_core.messages import MayHaveRun, NeverRan
from cowslipshelf_core.sidecar import (
    AnswerRevoke,
    CancelArrived,
    CancelAtUpstream,
    ConfigurationApplied,
    EndAttempt,
    FirstTokenArrived,
    HandOverArrived,
    HeldMemory,
    InventoryRead,
    LeavingStarted,
    OwnerSeen,
    RefuseAttempt,
    ReleaseAtUpstream,
    RevokeArrived,
    StartAttempt,
    TickElapsed,
    UpstreamAccepted,
    UpstreamFinished,
)

LIMITS = {"max_waiting": 3, "max_ended_attempts": 2, "max_finished": 3}
LONGEST_DEADLINE = 30.0
TICK_SECONDS = 0.5
INVENTORY_TICKS = 2
BOOKING = {
    "deadline_seconds": LONGEST_DEADLINE,
    "non_idempotent": True,
    "owner": "entry-1",
    "priority": 0,
    "prompt_tokens": 300,
}

indexes = st.integers(0, 7)


class SidecarMachine(RuleBasedStateMachine):
    """Run a sidecar beside an engine, with a network that loses, delays and doubles.

    A hand-over is one HTTP request, so its copies reach one start of the sidecar; after
    a restart only hand-overs that were still under way arrive.
    """

    @initialize()
    def begin(self):
        self.now = 0.0
        self.starts = 0
        self.count = 0
        self.posted = []
        self.known = []
        self.delivered = set()
        self.started = Counter()
        self.never_ran = set()
        self.held = {}
        self.version = 1
        self.restart()

    def restart(self):
        self.starts += 1
        self.state = sidecar(f"start-{self.starts}", **LIMITS)
        self.state.handle(ConfigurationApplied(configuration(self.version)), self.now)
        self.posted = [
            posted for posted in self.posted if posted.attempt_id not in self.delivered
        ]
        self.announce()

    def announce(self):
        self.seen_sequence = self.state.load_report().sequence

    @rule(
        owner=st.sampled_from(["entry-1", "entry-2"]),
        non_idempotent=st.booleans(),
        deadline_seconds=st.sampled_from([LONGEST_DEADLINE, 5.0, 0.0]),
        prompt_tokens=st.sampled_from([300, 10, 700, 2_000]),
        priority=st.sampled_from([0, -1_000, 1_000]),
        arrives=st.booleans(),
    )
    def hand_over(self, arrives, **facts):
        facts["sidecar_epoch"] = f"start-{self.starts}"
        facts["load_sequence"] = self.seen_sequence
        self.count += 1
        posted = hand_over(f"attempt-{self.count}", **facts)
        self.posted.append(posted)
        self.known.append(posted)
        if arrives:
            self.deliver(posted)

    def deliver(self, posted):
        self.delivered.add(posted.attempt_id)
        self.take(HandOverArrived(posted))

    @precondition(lambda self: self.posted)
    @rule(index=indexes)
    def deliver_a_copy(self, index):
        self.deliver(self.any_posted(index))

    @precondition(lambda self: self.known)
    @rule(index=indexes, knows_sequence=st.booleans())
    def revoke(self, index, knows_sequence):
        posted = self.any_known(index)
        sequence = posted.load_sequence if knows_sequence else 0
        self.take(RevokeArrived(posted.attempt_id, posted.sidecar_epoch, sequence))

    @precondition(lambda self: self.posted)
    @rule(index=indexes, others=st.integers(0, 3))
    def revoke_and_deliver_a_late_copy(self, index, others):
        posted = self.any_posted(index)
        self.take(RevokeArrived(posted.attempt_id, posted.sidecar_epoch))
        for other in range(others):
            self.announce()
            name = f"{posted.attempt_id}-{other}-{self.seen_sequence}"
            self.take(RevokeArrived(name, f"start-{self.starts}"))
        self.deliver(posted)

    @precondition(lambda self: self.known)
    @rule(index=indexes)
    def cancel(self, index):
        self.take(CancelArrived(self.any_known(index).attempt_id))

    @precondition(lambda self: self.started)
    @rule(
        index=indexes,
        make_event=st.sampled_from([UpstreamAccepted, FirstTokenArrived]),
    )
    def hear_from_engine(self, index, make_event):
        self.take(make_event(self.any_started(index)))

    @precondition(lambda self: self.started)
    @rule(index=indexes, whole=st.booleans(), engine_ended=st.booleans())
    def hear_the_end(self, index, whole, engine_ended):
        attempt_id = self.any_started(index)
        if engine_ended:
            self.held.pop(attempt_id, None)
        self.take(UpstreamFinished(attempt_id, whole, 3))

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]), heard=st.booleans())
    def pass_time(self, seconds, heard):
        self.now += seconds
        if heard:
            self.take(OwnerSeen("entry-1"))
        self.take(TickElapsed())

    @rule()
    def read_inventory(self):
        held = tuple(HeldMemory(name, size) for name, size in self.held.items())
        self.take(InventoryRead(held))

    @rule()
    def exchange_load_reports(self):
        self.announce()

    @rule(kind=st.sampled_from(["restart", "allow", "forbid", "drain", "leave"]))
    def disturb(self, kind):
        self.version += 1
        match kind:
            case "restart":
                self.restart()
            case "leave":
                self.take(LeavingStarted())
            case "allow":
                self.take(ConfigurationApplied(configuration(self.version)))
            case "forbid":
                self.take(ConfigurationApplied(configuration(self.version, ())))
            case "drain":
                changed = configuration(self.version, draining=("runner-1",))
                self.take(ConfigurationApplied(changed))

    def any_posted(self, index):
        return self.posted[-1 - index % len(self.posted)]

    def any_known(self, index):
        return self.known[-1 - index % len(self.known)]

    def any_started(self, index):
        names = list(self.started)
        return names[-1 - index % len(names)]

    def take(self, event, obey=True):
        for effect in self.state.handle(event, self.now):
            match effect:
                case StartAttempt(posted):
                    self.note_start(posted)
                case RefuseAttempt(attempt_id, refused):
                    if refused.refusal.code is RefusalCode.NOT_RUN:
                        self.note_promise(attempt_id)
                    self.seen_sequence = refused.load.sequence
                case AnswerRevoke(NeverRan(attempt_id)):
                    self.note_promise(attempt_id)
                case AnswerRevoke(MayHaveRun(attempt_id, True)):
                    assert attempt_id in self.started
                case EndAttempt(attempt_id, Refusal(RefusalCode.NOT_RUN)):
                    self.note_promise(attempt_id)
                case CancelAtUpstream(attempt_id) | ReleaseAtUpstream(attempt_id):
                    if obey:
                        self.held.pop(attempt_id, None)

    def note_start(self, posted):
        self.started[posted.attempt_id] += 1
        self.held[posted.attempt_id] = posted.prompt_tokens + 100

    def note_promise(self, attempt_id):
        assert attempt_id not in self.started
        self.never_ran.add(attempt_id)

    @invariant()
    def no_attempt_runs_twice_or_after_a_promise(self):
        assert all(count == 1 for count in self.started.values())
        assert not self.never_ran & set(self.started)

    @invariant()
    def reservations_fit_the_memory(self):
        memory = self.state.table.memory
        assert 0 <= memory.reserved_tokens <= MEMORY_TOKENS

    def teardown(self):
        """Lose everything from here on but every third order to the engine."""
        longest = self.state.config.max_reservation_seconds(LONGEST_DEADLINE)
        for tick in range(int(longest / TICK_SECONDS) + 1):
            self.now += TICK_SECONDS
            self.take(TickElapsed(), obey=tick % 3 == 0)
        assert self.state.table.memory.reserved_tokens == 0
        grace = self.state.config.unclaimed_grace_seconds
        repeats = 3 * self.state.config.cancel_repeat_seconds
        for tick in range(int((grace + repeats) / TICK_SECONDS) + INVENTORY_TICKS):
            self.now += TICK_SECONDS
            self.take(TickElapsed())
            held = tuple(HeldMemory(name, size) for name, size in self.held.items())
            self.take(InventoryRead(held), obey=tick % 3 == 0)
        assert not self.held


def test_promises_hold_and_no_memory_is_lost():
    """Check "not run", one start for an attempt, and that memory comes back.

    A caller would see a payment line run twice, or an engine that takes less and less.
    Hand-overs come doubled and late, after a revocation, a refusal or a restart; orders
    to the engine and words from it get lost; entries die.
    """
    run_state_machine_as_test(
        SidecarMachine,
        settings=settings(
            max_examples=300, stateful_step_count=50, derandomize=True, deadline=None
        ),
    )


def test_a_promise_holds_where_the_asker_did_not_know_the_load_report():
    """A payment line runs although its caller was told that it never would.

    More attempts were revoked than the sidecar remembers, so that it goes by load
    reports for those that it forgot. The next one is revoked by an asker that does not
    know its report. It counted as chosen on one long ago, was not remembered, and a
    late copy of its hand-over, chosen on the present report, was taken.
    """
    machine = SidecarMachine()
    machine.begin()
    for forgotten in (2, 0):
        machine.hand_over(arrives=False, **BOOKING)
        machine.revoke_and_deliver_a_late_copy(index=0, others=forgotten)
        machine.no_attempt_runs_twice_or_after_a_promise()
    machine.teardown()


def test_a_cancel_that_overtakes_its_hand_over_holds_where_much_was_forgotten():
    """An engine works for nobody: the caller left before the hand-over arrived."""
    machine = SidecarMachine()
    machine.begin()
    machine.hand_over(arrives=False, **BOOKING)
    machine.revoke_and_deliver_a_late_copy(index=0, others=2)
    machine.hand_over(arrives=False, **BOOKING)
    machine.cancel(index=0)
    machine.deliver_a_copy(index=0)
    assert not machine.started


def test_a_cancel_of_an_attempt_that_ran_and_was_forgotten_promises_nothing():
    machine = SidecarMachine()
    machine.begin()
    machine.hand_over(arrives=True, **BOOKING)
    machine.hear_the_end(index=0, whole=False, engine_ended=False)
    machine.revoke_and_deliver_a_late_copy(index=0, others=2)
    machine.cancel(index=0)
    machine.deliver_a_copy(index=0)
    machine.no_attempt_runs_twice_or_after_a_promise()
