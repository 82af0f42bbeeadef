"""Define the messages between gateways about upstreams and the attempts on them."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from cowslipshelf_core.identifiers import AttemptId, InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.registry import HeartbeatSeen
from cowslipshelf_core.internal.gateway.request_digest import (
    PartDigest,
    RequestDigest,
)
from cowslipshelf_core.messages import Message


class HeartbeatsSeen(Message, frozen=True):
    """Forward heartbeats of upstreams."""

    seen: tuple[HeartbeatSeen, ...]


class EnginePart(NamedTuple):
    """Describe what one engine does for an attempt."""

    upstream_id: UpstreamId
    prefill_seconds: float
    """Duration of the prefill on an engine that does nothing else."""
    chunks: int
    """Chunks in which the part is prefilled, one in each step."""
    decodes: bool
    """Whether this engine also decodes the answer."""
    memory_tokens: int = 0
    """Memory that the engine holds for the prompt and its answer."""


class EngineWork(NamedTuple):
    """Describe an attempt as the gateway placed it on engines."""

    attempt_id: AttemptId
    parts: tuple[EnginePart, ...]
    value: float
    """Value of the answer; see `answer_value`."""
    objective_seconds: float
    """Latency objective for the first event."""
    pause_seconds: float
    """Latency objective for the pause between two events."""


class HeldWork(NamedTuple):
    """Describe a running attempt with its age."""

    work: EngineWork
    age_seconds: float
    first_token: bool


class WorkHeld(Message, frozen=True):
    """Report all attempts that a gateway has on engines; any other has ended."""

    held: tuple[HeldWork, ...]
    number: int = 0
    """Number of the last change that the report includes."""


class FetchWork(Message, frozen=True):
    """Request all attempts that a gateway has on engines."""


class WorkChanged(Message, frozen=True):
    """Report attempts on engines that began, had their first token, or ended."""

    begun: tuple[EngineWork, ...] = ()
    first_tokens: tuple[AttemptId, ...] = ()
    ended: tuple[AttemptId, ...] = ()
    number: int = 0
    """Sequence number of the change, from one on for each sender."""


class UpstreamExit(NamedTuple):
    """Identify one exit of an upstream's process."""

    upstream_id: UpstreamId
    number: int
    """Sequence number of the exit, from zero on, if the id stays the same."""


class ExitReport(NamedTuple):
    """Report an upstream's exit while it ran a request."""

    exit: UpstreamExit
    age_seconds: float
    cleared: bool
    """Whether the request was answered completely after the exit."""


class SuspectRequestReport(NamedTuple):
    """Report what a gateway knows of a request during which upstreams exited."""

    digest: RequestDigest
    exits: tuple[ExitReport, ...]
    trials: int
    """Number of trials begun."""
    last_ended_trial: int
    """Number of the last trial that has ended."""
    trial_age_seconds: float
    probes: int
    """Number of trials begun while the request was held back."""


class SuspectRequestsTold(Message, frozen=True):
    """Report requests during which upstreams exited."""

    suspects: tuple[SuspectRequestReport, ...]


class BrokenPart(NamedTuple):
    """Report a prompt part of an attempt that an upstream's exit broke off."""

    part: PartDigest
    run_seconds: float
    """Time from the beginning of the attempt to the exit."""
    request: RequestDigest


class ExitPartsReport(NamedTuple):
    """Report the prompt parts of the attempts that an upstream's exit broke off."""

    exit: UpstreamExit
    age_seconds: float
    parts: tuple[BrokenPart, ...]


class HeldPartReport(NamedTuple):
    """Report what a gateway knows of a prompt part that is held back."""

    exit_age_seconds: float
    """Age of its last exit."""
    trials: int
    """Number of trials begun."""
    last_ended_trial: int
    """Number of the last trial that has ended."""
    trial_age_seconds: float
    probes: int
    """Number of trials begun after a hold."""
    trial_exits: int
    """Number of upstreams that exited in its trials."""


class PartReport(NamedTuple):
    """Report what a gateway knows of a prompt part."""

    part: PartDigest
    answer_age_seconds: float | None
    """Age of its last complete answer, if there was one lately."""
    held: HeldPartReport | None


class PromptPartsTold(Message, frozen=True):
    """Report which prompt parts were running when upstreams exited."""

    exits: tuple[ExitPartsReport, ...] = ()
    parts: tuple[PartReport, ...] = ()


class UpstreamOutcome(StrEnum):
    """Name what an attempt shows about an upstream."""

    ANSWERED = "answered"
    FAILED = "failed"
    """It answered that it failed, or that it did not run the request."""
    LOST = "lost"
    """It could not be reached, or closed the connection without an answer."""


class UpstreamObservation(msgspec.Struct, frozen=True, array_like=True):
    """Report what one gateway observed of an upstream."""

    upstream_id: UpstreamId
    outcome: UpstreamOutcome
    slowness: float | None
    """Duration as a multiple of the expected one, if it is known."""
    age_seconds: float
    running: bool = False
    """Whether the answer goes on, so that only its slowness is known yet."""


class UpstreamObservations(Message, frozen=True):
    """Report observations of upstreams that fail, are slow, or were so lately."""

    observations: tuple[UpstreamObservation, ...]
    answered_upstreams: int = 0
    """Number of distinct upstreams that answered the sender within some seconds, and
    were not lost since."""
    number: int = 0
    """Sequence number of the message, from one on for each start of a sender."""


class Relayed(Message, frozen=True):
    """Relay a gateway's message through another one."""

    origin: InstanceId
    message: HeartbeatsSeen | WorkChanged | SuspectRequestsTold | UpstreamObservations
    pass_on: bool
    """Whether the receiver forwards it to the other gateways of its data centre."""
