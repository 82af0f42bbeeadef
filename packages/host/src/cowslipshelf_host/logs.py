"""Write logs: short sentences, a fixed prefix for each part, no secrets."""

from cowslipshelf_host.internal.logs.setup import (
    configure_logs,
    configure_queued_logs,
    part_logger,
)
from cowslipshelf_host.internal.logs.writing import LineWriter, QueuedLineWriter

__all__ = [
    "LineWriter",
    "QueuedLineWriter",
    "configure_logs",
    "configure_queued_logs",
    "part_logger",
]
