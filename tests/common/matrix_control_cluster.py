"""Run replicas of the control state for the fault matrix."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from common.agreement_cluster import ENCODER, Cluster
from cowslipshelf_core.agreement import (
    CommandProposed,
    EntryKind,
    ProposalRefused,
    ProposalResult,
    SnapshotTaken,
    SnapshotWanted,
)
from cowslipshelf_core.configuration_view import (
    ConfigurationView,
)
from cowslipshelf_core.control import (
    ControlState,
    decode_command,
    encode_outcome,
)


class Applied(msgspec.Struct, array_like=True):
    """Hold a snapshot of the cluster's checked commands and of the control state."""

    commands: list[str]
    state: bytes


@dataclass
class PendingMessage:
    """Hold an undelivered message to or from a process without a replica."""

    sender: str
    recipient: str
    deliver: Callable[[], None]


@dataclass
class ConfigurationObserver:
    """Hold one process's configuration view and every version it had in force."""

    view: ConfigurationView
    versions: list[int] = field(default_factory=list)


@dataclass(repr=False)
class ControlCluster(Cluster):
    """Apply committed commands to the control state, as the replica's actor does."""

    states: dict[str, ControlState] = field(default_factory=dict)
    answer_callbacks: dict[str, Callable] = field(default_factory=dict)
    pending_reads: dict[str, Callable] = field(default_factory=dict)
    frozen: dict[str, list] = field(default_factory=dict)

    def restart(self, instance) -> None:
        self.states[instance] = ControlState()
        self.frozen.pop(instance, None)
        super().restart(instance)

    def step(self, instance, events, crash=None) -> None:
        if instance in self.frozen:
            self.frozen[instance] += events
        else:
            super().step(instance, events, crash)

    def resume(self, instance) -> None:
        events = self.frozen.pop(instance, [])
        self.step(instance, events)

    def submit(self, instance, command: bytes, answer: Callable) -> None:
        """Propose under a new id, so that each copy of a command is answered."""
        self.proposed += 1
        proposal_id = f"proposal-{self.proposed}"
        self.answer_callbacks[f"{instance} {proposal_id}"] = answer
        at = 1000.0 + self.nodes[instance].clock
        self.step(instance, [CommandProposed(proposal_id, command, at)])

    def perform(self, node, effect) -> None:
        if isinstance(effect, SnapshotWanted):
            assert effect.index == node.applied_index
            state = self.states[node.instance].to_snapshot()
            taken = ENCODER.encode(Applied(node.commands, state))
            self.step(node.instance, [SnapshotTaken(effect.index, taken)])
            return
        if isinstance(effect, ProposalRefused):
            self.refuse(node.instance, effect)
            return
        super().perform(node, effect)
        read_id = getattr(effect, "read_id", None)
        if read_id in self.pending_reads:
            confirmed = read_id in self.confirmed_reads
            self.pending_reads.pop(read_id)(confirmed)

    def refuse(self, instance, effect: ProposalRefused) -> None:
        """Refuse a proposal that this instance has not answered.

        A leader that was frozen may report "outcome unknown" for a command that
        another leader has committed meanwhile. The base class would treat that commit
        as this instance's answer.
        """
        assert f"{instance} {effect.proposal_id}" in self.answer_callbacks
        self.refused[effect.proposal_id] = effect.reason
        self.answer(instance, effect.proposal_id, 0, b"", effect)

    def answer(self, instance, proposal_id, index, outcome, refused=None) -> None:
        answer = self.answer_callbacks.pop(f"{instance} {proposal_id}", None)
        if answer is not None:
            reason = refused.reason if refused else None
            leader = refused.leader if refused else None
            answer(ProposalResult("", index, outcome, reason, leader))

    def apply(self, node, index, entry) -> None:
        super().apply(node, index, entry)
        if entry.kind is not EntryKind.COMMAND:
            return
        command = decode_command(entry.payload)
        outcome = self.states[node.instance].apply(command, index, entry.at)
        self.answer(node.instance, entry.proposal_id, index, encode_outcome(outcome))

    def install(self, node, state, index) -> None:
        applied = msgspec.msgpack.decode(state, type=Applied)
        super().install(node, ENCODER.encode(applied.commands), index)
        self.states[node.instance] = ControlState.from_snapshot(applied.state)

    def read_from_quorum(self, instance, answer: Callable) -> None:
        if self.nodes[instance].running and instance not in self.frozen:
            self.pending_reads[f"read-{len(self.reads)}"] = answer
            self.read(instance)
