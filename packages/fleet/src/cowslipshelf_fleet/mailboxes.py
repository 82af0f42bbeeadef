"""Provide mailboxes, which exchange one-way messages between processes."""

from cowslipshelf_fleet.internal.counters import MailboxCounters
from cowslipshelf_fleet.internal.mailbox import Mailbox, MailboxConfig, Received

__all__ = ["Mailbox", "MailboxConfig", "MailboxCounters", "Received"]
