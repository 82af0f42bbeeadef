"""Name the steps of the tests of requests."""

from common.requests_harness import DrivenRequest, Step
from common.requests_world import COMPLETE_ANSWER
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.requests import AnswerEnd

NO_FAULT = Step()
LOST_AFTER_ARRIVAL = Step(call_fault="answer")
BUSY = Step(busy=True)
NO_FREE_UPSTREAM = Step(full=True)
NO_QUORUM = Step(call_fault="question")
NO_BUDGET = Step(call_fault="question")
NOT_RESUMED = Step(call_fault="question")
STREAM_CUT = Step(frame_fault="cut")


def got_complete_answer(driven: DrivenRequest) -> bool:
    """Return whether a caller got the complete answer and its end."""
    ended = isinstance(driven.finals[0], AnswerEnd)
    return ended and b"".join(driven.answer) == COMPLETE_ANSWER


def refusal_of(driven: DrivenRequest) -> Refusal:
    """Return the refusal that a caller got."""
    return driven.finals[0].refusal
