"""Define what a spread hand-over wants done."""

from dataclasses import dataclass

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import AttemptRefused
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver


@dataclass(frozen=True, slots=True)
class HandOverPart:
    """Hand a part over, once; then read its frames until the next effect."""

    address: str
    hand_over: HandOver


@dataclass(frozen=True, slots=True)
class BeginPart:
    """Tell a sidecar that a reserved part may begin; then read the part's frames."""

    address: str
    attempt_id: AttemptId
    parts: tuple[KvReference, ...]


@dataclass(frozen=True, slots=True)
class CancelPart:
    """Give up a part; a lost cancel is made good by lease or deadline."""

    address: str
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class RevokeLast:
    """Ask for the promise that the last part never runs."""

    address: str
    hand_over: HandOver


@dataclass(frozen=True, slots=True)
class BackOff:
    """Wait before the next try."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SpreadBegun:
    """Say that the last part generates: from here on it is an ordinary attempt."""


@dataclass(frozen=True, slots=True)
class SpreadRefused:
    """Say that the request did not run, or what the last sidecar said of it."""

    refused: AttemptRefused


@dataclass(frozen=True, slots=True)
class SpreadUncertain:
    """Say that the last part got no answer."""

    may_have_arrived: bool
    detail: str


SpreadResult = SpreadBegun | SpreadRefused | SpreadUncertain

SpreadEffect = (
    HandOverPart | BeginPart | CancelPart | RevokeLast | BackOff | SpreadResult
)
