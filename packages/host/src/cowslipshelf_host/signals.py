"""Handle the signals that shut a process down."""

from cowslipshelf_host.internal.signals import ShutdownSignals

__all__ = ["ShutdownSignals"]
