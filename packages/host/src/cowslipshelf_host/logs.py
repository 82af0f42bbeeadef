"""Write logs: short sentences, a fixed prefix for each part, no secrets."""

from cowslipshelf_host.internal.logs.setup import configure_logs, part_logger
from cowslipshelf_host.internal.logs.writing import LineWriter

__all__ = ["LineWriter", "configure_logs", "part_logger"]
