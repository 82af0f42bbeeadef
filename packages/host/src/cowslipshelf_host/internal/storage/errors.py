"""Define the errors of durable storage."""

from pathlib import Path


class StorageError(Exception):
    """Report which step failed for which file, and what the operator can do."""

    def __init__(
        self, step: str, path: Path, detail: str, offset: int | None = None
    ) -> None:
        self.step = step
        self.path = path
        self.detail = detail
        self.offset = offset
        """Byte offset of the corruption in the file, if known."""
        where = f"{path}" if offset is None else f"{path} at offset {offset}"
        super().__init__(f"{step}: {where}: {detail}")

    @classmethod
    def corrupt(cls, path: Path, detail: str, offset: int | None = None):
        """Return the error for synced bytes that are corrupt or missing."""
        advice = (
            "this replica must be rebuilt from another: stop it, move its data "
            "folder away and start it with an empty one"
        )
        return cls("load", path, f"{detail}; {advice}", offset)
