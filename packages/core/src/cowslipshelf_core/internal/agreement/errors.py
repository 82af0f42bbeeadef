"""Define the errors of the replicated log."""


class LogDivergedError(Exception):
    """Signal that a leader contradicts an entry that this replica has committed.

    No order of messages, crashes and losses of unsynced bytes causes this. A disk
    that lost synced bytes, or data folders of two clusters mixed by hand, can.
    """
