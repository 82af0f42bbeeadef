"""Check what the answer writer sees of its caller."""

import socket

from cowslipshelf_callers import AnswerWriter
from cowslipshelf_core.identifiers import RequestId

LONG_SECONDS = 600.0
SHORT_SECONDS = 0.05


def writer_on(connection: socket.socket) -> AnswerWriter:
    return AnswerWriter(
        connection, "caller", RequestId("r"), LONG_SECONDS, "POST", True, True
    )


def test_a_quiet_caller_is_not_taken_for_gone():
    """A caller waits for the first token of a long prompt and says nothing.

    The entry looks whether it is still there; the socket has the timeout of the last
    write, waits for that long and raises. The caller saw its request cancelled.
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
