"""Define the errors of the replicated log."""


class LogDivergedError(Exception):
    """Say that a leader contradicts an entry that this replica has committed.

    No order of messages, crashes and losses of unsynced bytes leads here; a disk
    that lost synced bytes, or folders of two clusters mixed by hand, may.
    """
