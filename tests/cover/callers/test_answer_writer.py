"""Check that the answer writer notices whether its caller is gone."""

import socket

from cowslipshelf_callers import AnswerWriter
from cowslipshelf_core.identifiers import RequestId

LONG_SECONDS = 600.0
SHORT_SECONDS = 0.05


def writer_on(connection: socket.socket) -> AnswerWriter:
    return AnswerWriter(
        connection, "caller", RequestId("r"), LONG_SECONDS, "POST", True, True
    )


def test_a_silent_caller_is_not_reported_as_gone():
    """A caller sends nothing while it waits for the first token of a long prompt.

    The check whether it is still connected ran with the socket timeout of the last
    write, waited for that long and raised, so the caller's request was cancelled.
    """
    here, there = socket.socketpair()
    with here, there:
        here.settimeout(SHORT_SECONDS)
        assert not writer_on(here).caller_gone()


def test_a_caller_that_closed_its_connection_is_gone():
    here, there = socket.socketpair()
    with here:
        there.close()
        assert writer_on(here).caller_gone()
