"""Define what gateways tell each other about upstreams and the work on them."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId, InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.registry import HeartbeatSeen
from cowslipshelf_core.internal.gateway.request_digest import RequestDigest
from cowslipshelf_core.messages import Message


class HeartbeatsSeen(Message, frozen=True):
    """Pass on heartbeats of upstreams."""

    seen: tuple[HeartbeatSeen, ...]


class EnginePart(NamedTuple):
    """Be what one engine does of an attempt."""

    upstream_id: UpstreamId
    prefill_seconds: float
    """Time that reading takes on an engine that does nothing else."""
    chunks: int
    """Pieces in which the part is read, one in each step."""
    decodes: bool
    """Whether this engine also writes the answer."""
    memory_tokens: int = 0
    """Memory that it holds for the prompt and its answer."""


class EngineWork(NamedTuple):
    """Be an attempt on the engines, as the gateway that placed it sees it."""

    attempt_id: AttemptId
    parts: tuple[EnginePart, ...]
    value: float
    """What is lost if it is late; see `answer_value`."""
    objective_seconds: float
    """Time to the first event that is still on time."""
    pause_seconds: float
    """Longest pause between two events that is still on time."""


class HeldWork(NamedTuple):
    """Be an attempt that still runs, with its age."""

    work: EngineWork
    age_seconds: float
    first_token: bool


class WorkHeld(Message, frozen=True):
    """Tell of all attempts that a gateway has on engines, and so of no others."""

    held: tuple[HeldWork, ...]
    number: int = 0
    """Number of the last change that this takes in."""


class FetchWork(Message, frozen=True):
    """Ask a gateway for all attempts that it has on engines."""


class WorkChanged(Message, frozen=True):
    """Tell of attempts on engines that began, gave a first token, or ended."""

    begun: tuple[EngineWork, ...] = ()
    first_tokens: tuple[AttemptId, ...] = ()
    ended: tuple[AttemptId, ...] = ()
    number: int = 0
    """Counts the sender's changes, from one on."""


class UpstreamExit(NamedTuple):
    """Name one end of an upstream's process."""

    upstream_id: UpstreamId
    number: int
    """Counts its ends, from zero on, where it keeps its id over them."""


class ExitReport(NamedTuple):
    """Tell of an end under a request."""

    end: UpstreamExit
    age_seconds: float
    cleared: bool
    """Whether the request was answered whole after it."""


class SuspectRequestReport(NamedTuple):
    """Tell all that a gateway knows of a request under which upstreams ended."""

    digest: RequestDigest
    ends: tuple[ExitReport, ...]
    trials: int
    """Trials of it that were begun."""
    over: int
    """Number of the last trial that is over."""
    trial_age_seconds: float
    probes: int
    """Trials that were begun while it was held back."""


class SuspectRequestsTold(Message, frozen=True):
    """Tell of requests under which upstreams ended."""

    suspects: tuple[SuspectRequestReport, ...]


class Relayed(Message, frozen=True):
    """Carry a gateway's message by way of another one."""

    origin: InstanceId
    message: HeartbeatsSeen | WorkChanged | SuspectRequestsTold
    pass_on: bool
    """Whether the receiver passes it on to the others of its data centre."""
