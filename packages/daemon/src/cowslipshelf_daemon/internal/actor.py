"""Be the base of every actor: a failure ends the process, never just the actor."""

import os
import traceback
from types import TracebackType

from pykka import ThreadingActor

from cowslipshelf_host.logs import part_logger

LOG = part_logger("actor")

EXIT_ACTOR_FAILED = 70


class DaemonActor(ThreadingActor):
    """Own one part of a daemon's state."""

    use_daemon_thread = True
    """A daemon that could not start must end although its first actors run."""

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback_: TracebackType | None,
    ) -> None:
        """End the process at once.

        An actor that has died leaves a process that accepts connections and answers
        nothing. Whoever watches processes sees an ended one and starts it again, and
        every part of the system is made to survive that.
        """
        lines = traceback.format_exception(exception_type, exception_value, traceback_)
        LOG.error("Actor failed.", actor=type(self).__name__, trace="".join(lines))
        os._exit(EXIT_ACTOR_FAILED)
