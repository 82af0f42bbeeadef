"""Apply the same commands to two replicas of the control state and compare them."""

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cowslipshelf_core.control import (
    ConfirmPlan,
    ControlCommand,
    ControlOutcome,
    ControlState,
    decode_command,
    decode_outcome,
    encode_command,
    encode_outcome,
)

START = 1_000_000.0
MACHINE_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=40,
    suppress_health_check=[HealthCheck.too_slow],
)


class ReplicasMachine(RuleBasedStateMachine):
    """Apply one log to two replicas, either of which may restart from a snapshot."""

    def __init__(self) -> None:
        super().__init__()
        self.replicas = [ControlState(), ControlState()]
        self.index = 0
        self.at = START
        self.latest = START

    @property
    def state(self) -> ControlState:
        """The first replica."""
        return self.replicas[0]

    def apply(self, command: ControlCommand) -> ControlOutcome:
        """Apply a command to both replicas, and check that it survives encoding."""
        assert decode_command(encode_command(command)) == command
        self.index += 1
        self.latest = self.now()
        before = self.state.configuration
        first, second = (
            replica.apply(command, self.index, self.at) for replica in self.replicas
        )
        assert encode_outcome(first) == encode_outcome(second)
        assert decode_outcome(encode_outcome(first)) == first
        after = self.state.configuration
        if not isinstance(command, ConfirmPlan):
            assert after == before
        assert after.version in (before.version, before.version + 1)
        changed = msgspec.structs.replace(after, version=before.version) != before
        assert changed == (after.version != before.version)
        return first

    def now(self) -> float:
        """Return the time that the replicas use."""
        return max(self.latest, self.at)

    @rule(seconds=st.sampled_from([-50.0, 0.5, 0.5, 5.0, 5.0, 45.0, 3600.0]))
    def time_passes(self, seconds: float) -> None:
        """Advance the leader's clock, or set it back as by a change of leader."""
        self.at += seconds

    @rule(which=st.sampled_from([0, 1]))
    def restart_from_snapshot(self, which: int) -> None:
        self.replicas[which] = ControlState.from_snapshot(
            self.replicas[which].to_snapshot()
        )

    @invariant()
    def replicas_agree_byte_for_byte(self) -> None:
        first, second = (replica.to_snapshot() for replica in self.replicas)
        assert first == second

    @invariant()
    def the_trail_is_in_order(self) -> None:
        records = self.state.audit(0, 10_000)
        indexes = [record.index for record in records]
        assert indexes == sorted(set(indexes))
