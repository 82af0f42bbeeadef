"""Define the handler that the server calls to answer callers."""

from typing import Protocol

from cowslipshelf_callers.internal.answer_writer import AnswerWriter
from cowslipshelf_callers.internal.call import CallerCall, ServedModel
from cowslipshelf_core.errors import Refusal


class CallersHandler(Protocol):
    """Answer calls; called from many threads at once, one for each open call."""

    def answer(self, call: CallerCall, writer: AnswerWriter) -> None:
        """Write the one answer to the call, and return when it has ended."""

    def models(self, customer_key: str) -> tuple[ServedModel, ...] | Refusal:
        """List the models that the customer may use."""
