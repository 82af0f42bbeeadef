"""Name the steps that stories of requests are told in."""

from common.requests_harness import Driven, Step
from common.requests_world import WHOLE_ANSWER
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.requests import AnswerEnd

FINE = Step()
LOST_AFTER_ARRIVAL = Step(loss="answer")
BUSY = Step(busy=True)
FULL = Step(full=True)
NO_QUORUM = Step(loss="question")
NO_BUDGET = Step(loss="question")
NOT_RESUMED = Step(loss="question")
CUT = Step(spoil="cut")


def is_whole(driven: Driven) -> bool:
    """Tell whether a caller got the whole answer and its end."""
    ended = isinstance(driven.finals[0], AnswerEnd)
    return ended and b"".join(driven.answer) == WHOLE_ANSWER


def refusal_of(driven: Driven) -> Refusal:
    """Give the refusal that a caller got."""
    return driven.finals[0].refusal
