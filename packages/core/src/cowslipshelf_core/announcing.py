"""Choose the entries that a sidecar announces its upstream to."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import InstanceId, UpstreamId

RANK_BYTES = 8


class EntryEndpoint(NamedTuple):
    """Be an entry instance and the address of its mailbox."""

    instance: InstanceId
    mailbox_address: str


def choose_entries(
    upstream_id: UpstreamId, entries: Collection[EntryEndpoint], limit: int
) -> tuple[EntryEndpoint, ...]:
    """Choose at most `limit` entries, spread evenly over all upstreams.

    Each upstream ranks the entries by a hash of both names (rendezvous hashing), so an
    entry that comes or goes moves only those upstreams that choose it. Hearing every
    upstream would cost an entry in proportion to the whole fleet.
    """
    ranked = sorted(entries, key=lambda entry: rank(upstream_id, entry.instance))
    return tuple(ranked[:limit])


def rank(upstream_id: UpstreamId, instance: InstanceId) -> bytes:
    """Return where an entry stands for an upstream; the same in every process."""
    text = f"{upstream_id}\0{instance}".encode()
    return blake2b(text, digest_size=RANK_BYTES).digest()


def digest_entries(entries: Collection[EntryEndpoint]) -> str:
    """Return a digest by which two lists of entries can be told apart."""
    digest = blake2b(digest_size=RANK_BYTES)
    for entry in sorted(entries):
        digest.update(f"{entry.instance}\0{entry.mailbox_address}\0".encode())
    return digest.hexdigest()


class EntryChooserConfig(NamedTuple):
    """Set how many entries hear of an upstream, and when one counts as gone."""

    upstream_id: UpstreamId
    max_entries: int = 8
    answer_timeout_seconds: float = 3.0
    """Time without an answer after which another entry takes the place of one."""
    retry_seconds: float = 30.0
    """Time after which a silent entry is tried again."""


@dataclass(slots=True)
class Contact:
    """Be what is known of one entry; times in monotonic seconds."""

    place: EntryEndpoint
    asked_since: float | None = None
    """When it was first announced to without an answer since."""

    def is_silent(self, now: float, limit: float) -> bool:
        """Tell whether it has left announcements unanswered for too long."""
        return self.asked_since is not None and now - self.asked_since >= limit


@dataclass
class EntryChooser:
    """Choose the entries to announce to, and pass over those that don't answer.

    Without that, a sidecar would go on announcing to entries that were replaced, and
    fewer and fewer living ones would know its upstream.
    """

    config: EntryChooserConfig
    contacts: dict[str, Contact] = field(default_factory=dict)
    """By mailbox address."""
    entries_digest: str = digest_entries(())
    """Digest of the entries known; each announcement carries it."""

    @classmethod
    def from_config(
        cls, config: EntryChooserConfig, entries: Iterable[EntryEndpoint]
    ) -> Self:
        """Start with the entries of the settings."""
        chooser = cls(config)
        chooser.add(entries)
        return chooser

    def add(self, entries: Iterable[EntryEndpoint]) -> None:
        """Add entries that another one named."""
        known = len(self.contacts)
        for place in entries:
            self.contacts.setdefault(place.mailbox_address, Contact(place))
        if len(self.contacts) != known:
            self.entries_digest = digest_entries(
                [contact.place for contact in self.contacts.values()]
            )

    def record_answer(self, mailbox_address: str) -> None:
        """Note that an entry answered."""
        contact = self.contacts.get(mailbox_address)
        if contact is not None:
            contact.asked_since = None

    def targets(self, now: float) -> tuple[EntryEndpoint, ...]:
        """Choose the entries to announce to now, and count them as asked."""
        heard = [
            contact.place
            for contact in self.contacts.values()
            if not self._is_passed_over(contact, now)
        ]
        chosen = choose_entries(self.config.upstream_id, heard, self.config.max_entries)
        for place in chosen:
            contact = self.contacts[place.mailbox_address]
            if contact.asked_since is None:
                contact.asked_since = now
        return chosen

    def _is_passed_over(self, contact: Contact, now: float) -> bool:
        if contact.is_silent(now, self.config.retry_seconds):
            contact.asked_since = None
        return contact.is_silent(now, self.config.answer_timeout_seconds)
