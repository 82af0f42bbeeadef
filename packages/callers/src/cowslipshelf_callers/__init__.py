"""Serve callers over HTTP."""

from cowslipshelf_callers.errors import BadCallError, CallerGoneError
from cowslipshelf_callers.internal.answer_writer import AnswerWriter
from cowslipshelf_callers.internal.call import CallerCall, ServedModel
from cowslipshelf_callers.internal.handler import CallersHandler
from cowslipshelf_callers.internal.server import CallersServer
from cowslipshelf_callers.internal.server_config import CallersServerConfig

__all__ = [
    "AnswerWriter",
    "BadCallError",
    "CallerCall",
    "CallerGoneError",
    "CallersHandler",
    "CallersServer",
    "CallersServerConfig",
    "ServedModel",
]
