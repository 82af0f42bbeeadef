"""Exchange one-way messages between the system's own processes."""

from cowslipshelf_fleet.internal.counters import MailboxCounters
from cowslipshelf_fleet.internal.mailbox import Mailbox, MailboxConfig, Received

__all__ = ["Mailbox", "MailboxConfig", "MailboxCounters", "Received"]
