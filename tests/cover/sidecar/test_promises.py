"""Check the promises of a sidecar under loss, delay, duplication and restarts."""

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
MAX_DEADLINE_SECONDS = 30.0
TICK_SECONDS = 0.5
INVENTORY_TICKS = 2
NON_IDEMPOTENT = {
    "deadline_seconds": MAX_DEADLINE_SECONDS,
    "non_idempotent": True,
    "owner": "entry-1",
    "priority": 0,
    "prompt_tokens": 300,
}

indexes = st.integers(0, 7)


class SidecarMachine(RuleBasedStateMachine):
    """Run a sidecar and an engine over a network that loses, delays and duplicates.

    A hand-over is one HTTP request, so its copies reach only one start of the sidecar.
    After a restart only hand-overs arrive that were not delivered before.
    """

    @initialize()
    def begin(self):
        self.now = 0.0
        self.starts = 0
        self.count = 0
        self.sent = []
        self.all_sent = []
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
        self.sent = [
            sent for sent in self.sent if sent.attempt_id not in self.delivered
        ]
        self.announce()

    def announce(self):
        self.seen_sequence = self.state.load_report().sequence

    @rule(
        owner=st.sampled_from(["entry-1", "entry-2"]),
        non_idempotent=st.booleans(),
        deadline_seconds=st.sampled_from([MAX_DEADLINE_SECONDS, 5.0, 0.0]),
        prompt_tokens=st.sampled_from([300, 10, 700, 2_000]),
        priority=st.sampled_from([0, -1_000, 1_000]),
        arrives=st.booleans(),
    )
    def hand_over(self, arrives, **facts):
        facts["sidecar_epoch"] = f"start-{self.starts}"
        facts["load_sequence"] = self.seen_sequence
        self.count += 1
        sent = hand_over(f"attempt-{self.count}", **facts)
        self.sent.append(sent)
        self.all_sent.append(sent)
        if arrives:
            self.deliver(sent)

    def deliver(self, sent):
        self.delivered.add(sent.attempt_id)
        self.handle(HandOverArrived(sent))

    @precondition(lambda self: self.sent)
    @rule(index=indexes)
    def deliver_a_copy(self, index):
        self.deliver(self.any_sent(index))

    @precondition(lambda self: self.all_sent)
    @rule(index=indexes, knows_sequence=st.booleans())
    def revoke(self, index, knows_sequence):
        sent = self.any_of_all_sent(index)
        sequence = sent.load_sequence if knows_sequence else 0
        self.handle(RevokeArrived(sent.attempt_id, sent.sidecar_epoch, sequence))

    @precondition(lambda self: self.sent)
    @rule(index=indexes, others=st.integers(0, 3))
    def revoke_and_deliver_a_late_copy(self, index, others):
        sent = self.any_sent(index)
        self.handle(RevokeArrived(sent.attempt_id, sent.sidecar_epoch))
        for other in range(others):
            self.announce()
            name = f"{sent.attempt_id}-{other}-{self.seen_sequence}"
            self.handle(RevokeArrived(name, f"start-{self.starts}"))
        self.deliver(sent)

    @precondition(lambda self: self.all_sent)
    @rule(index=indexes)
    def cancel(self, index):
        self.handle(CancelArrived(self.any_of_all_sent(index).attempt_id))

    @precondition(lambda self: self.started)
    @rule(
        index=indexes,
        make_event=st.sampled_from([UpstreamAccepted, FirstTokenArrived]),
    )
    def report_progress(self, index, make_event):
        self.handle(make_event(self.any_started(index)))

    @precondition(lambda self: self.started)
    @rule(index=indexes, whole=st.booleans(), engine_ended=st.booleans())
    def report_the_end(self, index, whole, engine_ended):
        attempt_id = self.any_started(index)
        if engine_ended:
            self.held.pop(attempt_id, None)
        self.handle(UpstreamFinished(attempt_id, whole, 3))

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]), heard=st.booleans())
    def pass_time(self, seconds, heard):
        self.now += seconds
        if heard:
            self.handle(OwnerSeen("entry-1"))
        self.handle(TickElapsed())

    @rule()
    def read_inventory(self):
        held = tuple(HeldMemory(name, size) for name, size in self.held.items())
        self.handle(InventoryRead(held))

    @rule()
    def exchange_load_reports(self):
        self.announce()

    @rule(kind=st.sampled_from(["restart", "allow", "forbid", "drain", "leave"]))
    def change_state(self, kind):
        self.version += 1
        match kind:
            case "restart":
                self.restart()
            case "leave":
                self.handle(LeavingStarted())
            case "allow":
                self.handle(ConfigurationApplied(configuration(self.version)))
            case "forbid":
                self.handle(ConfigurationApplied(configuration(self.version, ())))
            case "drain":
                changed = configuration(self.version, draining=("runner-1",))
                self.handle(ConfigurationApplied(changed))

    def any_sent(self, index):
        return self.sent[-1 - index % len(self.sent)]

    def any_of_all_sent(self, index):
        return self.all_sent[-1 - index % len(self.all_sent)]

    def any_started(self, index):
        names = list(self.started)
        return names[-1 - index % len(names)]

    def handle(self, event, executed=True):
        for effect in self.state.handle(event, self.now):
            match effect:
                case StartAttempt(sent):
                    self.note_start(sent)
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
                    if executed:
                        self.held.pop(attempt_id, None)

    def note_start(self, sent):
        self.started[sent.attempt_id] += 1
        self.held[sent.attempt_id] = sent.prompt_tokens + 100

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
        """Lose all messages but every third command to the engine; expect no leak."""
        longest = self.state.config.max_reservation_seconds(MAX_DEADLINE_SECONDS)
        for tick in range(int(longest / TICK_SECONDS) + 1):
            self.now += TICK_SECONDS
            self.handle(TickElapsed(), executed=tick % 3 == 0)
        assert self.state.table.memory.reserved_tokens == 0
        grace = self.state.config.unclaimed_grace_seconds
        repeats = 3 * self.state.config.cancel_repeat_seconds
        for tick in range(int((grace + repeats) / TICK_SECONDS) + INVENTORY_TICKS):
            self.now += TICK_SECONDS
            self.handle(TickElapsed())
            held = tuple(HeldMemory(name, size) for name, size in self.held.items())
            self.handle(InventoryRead(held), executed=tick % 3 == 0)
        assert not self.held


def test_promises_hold_and_no_memory_is_lost():
    """Guards against requests that run twice, and against leaked engine memory.

    Hand-overs are duplicated and late, after a revocation, a refusal or a restart;
    commands to the engine and messages from it are lost; entries crash.
    """
    run_state_machine_as_test(
        SidecarMachine,
        settings=settings(
            max_examples=300, stateful_step_count=50, derandomize=True, deadline=None
        ),
    )


def test_a_promise_holds_where_the_asker_did_not_know_the_load_report():
    """Guards against a non-idempotent request that runs after a promise it never would.

    More attempts were revoked than the sidecar remembers, so the watermark covers the
    forgotten ones. The next revocation does not know the load sequence of its attempt.
    The attempt counted as covered by the watermark and was not recorded, and a late
    copy of its hand-over, with the current sequence, was accepted.
    """
    machine = SidecarMachine()
    machine.begin()
    for forgotten in (2, 0):
        machine.hand_over(arrives=False, **NON_IDEMPOTENT)
        machine.revoke_and_deliver_a_late_copy(index=0, others=forgotten)
        machine.no_attempt_runs_twice_or_after_a_promise()
    machine.teardown()


def test_a_cancel_that_overtakes_its_hand_over_holds_where_much_was_forgotten():
    """Guards against an attempt that runs although its caller has left before."""
    machine = SidecarMachine()
    machine.begin()
    machine.hand_over(arrives=False, **NON_IDEMPOTENT)
    machine.revoke_and_deliver_a_late_copy(index=0, others=2)
    machine.hand_over(arrives=False, **NON_IDEMPOTENT)
    machine.cancel(index=0)
    machine.deliver_a_copy(index=0)
    assert not machine.started


def test_a_cancel_of_an_attempt_that_ran_and_was_forgotten_promises_nothing():
    machine = SidecarMachine()
    machine.begin()
    machine.hand_over(arrives=True, **NON_IDEMPOTENT)
    machine.report_the_end(index=0, whole=False, engine_ended=False)
    machine.revoke_and_deliver_a_late_copy(index=0, others=2)
    machine.cancel(index=0)
    machine.deliver_a_copy(index=0)
    machine.no_attempt_runs_twice_or_after_a_promise()
