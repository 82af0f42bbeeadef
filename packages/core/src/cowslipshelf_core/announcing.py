"""Choose the entries that a sidecar announces its upstream to."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import InstanceId, UpstreamId

RANK_BYTES = 8


class EntryEndpoint(NamedTuple):
    """Hold the name of an entry instance and the address of its mailbox."""

    instance: InstanceId
    mailbox_address: str


def choose_entries(
    upstream_id: UpstreamId, entries: Collection[EntryEndpoint], limit: int
) -> tuple[EntryEndpoint, ...]:
    """Choose at most `limit` entries by rendezvous hashing.

    Each upstream ranks the entries by a hash of both names. The upstreams spread evenly
    over the entries, and an entry that is added or removed affects only the upstreams
    that choose it. If every upstream announced itself to all entries, the load of each
    entry would grow with the whole fleet.
    """
    ranked = sorted(entries, key=lambda entry: rank(upstream_id, entry.instance))
    return tuple(ranked[:limit])


def rank(upstream_id: UpstreamId, instance: InstanceId) -> bytes:
    """Return the sort key of an entry for an upstream; equal in every process."""
    text = f"{upstream_id}\0{instance}".encode()
    return blake2b(text, digest_size=RANK_BYTES).digest()


def digest_entries(entries: Collection[EntryEndpoint]) -> str:
    """Return a digest of a set of entries, independent of their order."""
    digest = blake2b(digest_size=RANK_BYTES)
    for entry in sorted(entries):
        digest.update(f"{entry.instance}\0{entry.mailbox_address}\0".encode())
    return digest.hexdigest()


class EntryChooserConfig(NamedTuple):
    """Configure to how many entries an upstream is announced, and when to skip one."""

    upstream_id: UpstreamId
    max_entries: int = 8
    answer_timeout_seconds: float = 3.0
    """Time without an answer after which an entry is replaced by another one."""
    retry_seconds: float = 30.0
    """Time after which an entry that did not answer is tried again."""


@dataclass(slots=True)
class EntryState:
    """Hold what is known of one entry; times are monotonic seconds."""

    endpoint: EntryEndpoint
    unanswered_since: float | None = None
    """Time of the first announcement that is still unanswered."""

    def is_silent(self, now: float, limit: float) -> bool:
        """Return whether it has not answered announcements for `limit` seconds."""
        return (
            self.unanswered_since is not None and now - self.unanswered_since >= limit
        )


@dataclass
class EntryChooser:
    """Choose the entries to announce to, and skip those that don't answer.

    Otherwise a sidecar would continue to announce to entries that were replaced, and
    fewer and fewer live ones would know its upstream.
    """

    config: EntryChooserConfig
    known: dict[str, EntryState] = field(default_factory=dict)
    """Known entries by mailbox address."""
    entries_digest: str = digest_entries(())
    """Digest of the known entries; each announcement carries it."""

    @classmethod
    def from_config(
        cls, config: EntryChooserConfig, entries: Iterable[EntryEndpoint]
    ) -> Self:
        """Create a chooser that knows the entries in the settings."""
        chooser = cls(config)
        chooser.add(entries)
        return chooser

    def add(self, entries: Iterable[EntryEndpoint]) -> None:
        """Add the given entries to the known ones."""
        count = len(self.known)
        for endpoint in entries:
            self.known.setdefault(endpoint.mailbox_address, EntryState(endpoint))
        if len(self.known) != count:
            self.entries_digest = digest_entries(
                [state.endpoint for state in self.known.values()]
            )

    def record_answer(self, mailbox_address: str) -> None:
        """Record that an entry answered."""
        state = self.known.get(mailbox_address)
        if state is not None:
            state.unanswered_since = None

    def targets(self, now: float) -> tuple[EntryEndpoint, ...]:
        """Choose the entries to announce to now, and record the announcements."""
        candidates = [
            state.endpoint
            for state in self.known.values()
            if not self._is_skipped(state, now)
        ]
        chosen = choose_entries(
            self.config.upstream_id, candidates, self.config.max_entries
        )
        for endpoint in chosen:
            state = self.known[endpoint.mailbox_address]
            if state.unanswered_since is None:
                state.unanswered_since = now
        return chosen

    def _is_skipped(self, state: EntryState, now: float) -> bool:
        if state.is_silent(now, self.config.retry_seconds):
            state.unanswered_since = None
        return state.is_silent(now, self.config.answer_timeout_seconds)
