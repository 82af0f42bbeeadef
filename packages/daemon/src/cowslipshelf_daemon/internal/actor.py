"""Provide the base class of actors, whose failure ends the process."""

import os
import traceback
from types import TracebackType

from pykka import ThreadingActor

from cowslipshelf_host.logs import part_logger

LOG = part_logger("actor")

EXIT_ACTOR_FAILED = 70


class DaemonActor(ThreadingActor):
    """Own one part of a daemon's state; a failure ends the process."""

    use_daemon_thread = True
    """A daemon that fails to start must exit although its first actors run."""

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback_: TracebackType | None,
    ) -> None:
        """Exit the process at once.

        Without one of its actors, a process accepts connections and answers nothing.
        A process that has exited is seen and restarted by its supervisor, and every
        part of the system is built to survive a restart.
        """
        lines = traceback.format_exception(exception_type, exception_value, traceback_)
        LOG.error("Actor failed.", actor=type(self).__name__, trace="".join(lines))
        os._exit(EXIT_ACTOR_FAILED)
