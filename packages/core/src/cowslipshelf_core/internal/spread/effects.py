"""Define the effects that a spread hand-over asks its driver to perform."""

from dataclasses import dataclass

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import AttemptRefused
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver


@dataclass(frozen=True, slots=True)
class HandOverPart:
    """Hand over a part, at most once; then read its frames until the next effect."""

    address: str
    hand_over: HandOver


@dataclass(frozen=True, slots=True)
class BeginPart:
    """Tell a sidecar to begin a reserved part; then read the part's frames."""

    address: str
    attempt_id: AttemptId
    parts: tuple[KvReference, ...]
    """KV caches of the parts before this one."""


@dataclass(frozen=True, slots=True)
class CancelPart:
    """Cancel a part; if the cancel is lost, the lease or the deadline ends the part."""

    address: str
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class RevokeLast:
    """Ask the sidecar to guarantee that the last part never runs."""

    address: str
    hand_over: HandOver


@dataclass(frozen=True, slots=True)
class BackOff:
    """Wait before trying to reserve again."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SpreadBegun:
    """Report that the last part generates; from now on it is an ordinary attempt."""


@dataclass(frozen=True, slots=True)
class SpreadRefused:
    """Report that the request did not run, or the refusal of the last sidecar."""

    refused: AttemptRefused


@dataclass(frozen=True, slots=True)
class SpreadUncertain:
    """Report that it is unknown whether the last part runs."""

    may_have_arrived: bool
    detail: str


SpreadResult = SpreadBegun | SpreadRefused | SpreadUncertain

SpreadEffect = (
    HandOverPart | BeginPart | CancelPart | RevokeLast | BackOff | SpreadResult
)
