"""Watch for the signals that shut a process down."""

from cowslipshelf_platform.internal.signals import ShutdownSignals

__all__ = ["ShutdownSignals"]
