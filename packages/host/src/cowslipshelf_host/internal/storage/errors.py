"""Define the errors of durable storage."""

from pathlib import Path


class StorageError(Exception):
    """Say which step failed at which file, and what the operator can do."""

    def __init__(
        self, step: str, path: Path, detail: str, offset: int | None = None
    ) -> None:
        self.step = step
        self.path = path
        self.detail = detail
        self.offset = offset
        """Offset in bytes of the damage in the file, where it is known."""
        where = f"{path}" if offset is None else f"{path} at offset {offset}"
        super().__init__(f"{step}: {where}: {detail}")

    @classmethod
    def corrupt(cls, path: Path, detail: str, offset: int | None = None):
        """Describe damage to bytes that were synced."""
        advice = (
            "this replica must be rebuilt from another: stop it, move its data "
            "folder away and start it with an empty one"
        )
        return cls("load", path, f"{detail}; {advice}", offset)
