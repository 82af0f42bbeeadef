"""Write structured logs with a prefix for each part and without secrets."""

from cowslipshelf_host.internal.logs.line_writers import LineWriter, QueuedLineWriter
from cowslipshelf_host.internal.logs.setup import (
    configure_logs,
    configure_queued_logs,
    part_logger,
)

__all__ = [
    "LineWriter",
    "QueuedLineWriter",
    "configure_logs",
    "configure_queued_logs",
    "part_logger",
]
