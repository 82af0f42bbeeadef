"""Track the leases of announced upstreams."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Self

from cowslipshelf_core.directory_events import (
    LoadUpdated,
    UnavailableReason,
    UpstreamAvailable,
    UpstreamUnavailable,
)
from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.directory.config import DirectoryConfig
from cowslipshelf_core.internal.directory.events import (
    AnnounceArrived,
    DirectoryEffect,
    DirectoryEvent,
    DrainingChanged,
    ObserversChanged,
    SendSuspicion,
    SuspectArrived,
    TickElapsed,
    WithdrawArrived,
)
from cowslipshelf_core.internal.directory.mass_loss import MassLossDetector
from cowslipshelf_core.internal.directory.record import (
    Departure,
    Freshness,
    PublishedState,
    UpstreamRecord,
)
from cowslipshelf_core.internal.pause_detector import PauseDetector
from cowslipshelf_core.messages import Announce, Suspect, Withdraw


@dataclass
class Directory:
    """Decide which upstreams the router of one entry may use."""

    config: DirectoryConfig
    pause_detector: PauseDetector
    mass_loss: MassLossDetector
    records: dict[UpstreamId, UpstreamRecord] = field(default_factory=dict)
    unsettled: dict[UpstreamId, UpstreamRecord] = field(default_factory=dict)
    """Upstreams that are not both heard and in use; only these are checked by ticks."""
    earliest_lease_end: float = float("-inf")
    """No lease ends before this. Most are renewed first, so ticks rarely check all."""
    draining: frozenset[UpstreamId] = frozenset()
    other_entries: frozenset[InstanceId] = frozenset()
    next_rejoin_at: float = float("-inf")

    @classmethod
    def from_config(cls, config: DirectoryConfig) -> Self:
        """Create an empty directory."""
        pause_detector = PauseDetector()
        return cls(config, pause_detector, MassLossDetector(config))

    def handle(self, event: DirectoryEvent, now: float) -> list[DirectoryEffect]:
        """Handle one event at `now` (monotonic seconds); return its effects."""
        match event:
            case AnnounceArrived(announce):
                return self._handle_announce(announce, now)
            case WithdrawArrived(withdraw):
                return self._handle_withdraw(withdraw, now)
            case SuspectArrived(sender, suspect):
                self._handle_suspicion(sender, suspect, now)
                return []
            case ObserversChanged(other_entries):
                self.other_entries = other_entries
                return []
            case DrainingChanged(draining):
                return self._change_draining(draining, now)
            case TickElapsed():
                return self._tick(now)

    def _handle_announce(self, announce: Announce, now: float) -> list[DirectoryEffect]:
        upstream_id = announce.description.upstream_id
        record = self.records.get(upstream_id)
        if record is None:
            record = UpstreamRecord.from_announce(announce, now)
            self.records[upstream_id] = record
            self._expect_lease_end(record)
            return self._publish(record, now)
        freshness = record.freshness(announce)
        if freshness is Freshness.LATE:
            return []
        effects: list[DirectoryEffect] = []
        restarted = freshness is Freshness.RESTARTED
        if restarted:
            effects += self._publish_unavailable(record, UnavailableReason.RESTARTED)
            record.retire_epoch(self.config.max_retired_epochs)
        if restarted or record.is_absent:
            self._readmit(record, now)
        newer_load = announce.load.sequence > record.announce.load.sequence
        record.update(announce, now)
        self._expect_lease_end(record)
        changes = self._publish(record, now)
        if not changes and newer_load and record.published is not None:
            changes.append(LoadUpdated(upstream_id, announce.epoch, announce.load))
        return effects + changes

    def _readmit(self, record: UpstreamRecord, now: float) -> None:
        if not record.part_of_mass_loss:
            record.record_flap(self.config, now)
            return
        # After a network fault at this entry, all upstreams come back at once. Spaced
        # out, each receives queued requests before the next one is published as the
        # least loaded.
        record.part_of_mass_loss = False
        if record.published is None:
            record.held_until = max(now, self.next_rejoin_at)
            self.next_rejoin_at = record.held_until + self.config.rejoin_spacing_seconds

    def _handle_withdraw(self, withdraw: Withdraw, now: float) -> list[DirectoryEffect]:
        record = self.records.get(withdraw.upstream_id)
        if record is None or record.epoch != withdraw.epoch:
            return []
        record.depart(Departure.WITHDRAWN, now)
        return self._publish(record, now)

    def _handle_suspicion(
        self, sender: InstanceId, suspect: Suspect, now: float
    ) -> None:
        record = self.records.get(suspect.upstream_id)
        if record is not None and record.epoch == suspect.epoch:
            record.suspicions[sender] = now

    def _change_draining(
        self, draining: frozenset[UpstreamId], now: float
    ) -> list[DirectoryEffect]:
        changed = self.draining ^ draining
        self.draining = draining
        return self._publish_all(
            (self.records[name] for name in changed if name in self.records), now
        )

    def _tick(self, now: float) -> list[DirectoryEffect]:
        pause = self.pause_detector.tick(now)
        # See PauseDetector: otherwise the whole fleet would seem to be silent.
        if pause:
            self._prolong_leases(pause, now)
        self._forget_departed(now)
        self._end_leases(now)
        effects = self._update_mass_loss(now)
        for record in self.unsettled.values():
            self._remove_if_due(record, now)
        effects += self._publish_all(tuple(self.unsettled.values()), now)
        effects += self._send_suspicions(now)
        return effects

    def _prolong_leases(self, seconds: float, now: float) -> None:
        for record in self.records.values():
            record.heard_at = min(now, record.heard_at + seconds)

    def _forget_departed(self, now: float) -> None:
        oldest = now - self.config.flap_reset_seconds
        forgotten = [
            name
            for name, record in self.unsettled.items()
            if record.departure is not None and record.departed_at < oldest
        ]
        for name in forgotten:
            del self.records[name]
            del self.unsettled[name]

    def _expect_lease_end(self, record: UpstreamRecord) -> None:
        # An announcement can also shorten the lease.
        end = record.lease_end(self.config)
        self.earliest_lease_end = min(self.earliest_lease_end, end)

    def _end_leases(self, now: float) -> None:
        if now < self.earliest_lease_end:
            return
        self.earliest_lease_end = float("inf")
        for name, record in self.records.items():
            if record.is_absent:
                continue
            end = record.lease_end(self.config)
            if now < end:
                self.earliest_lease_end = min(self.earliest_lease_end, end)
                continue
            self.unsettled[name] = record
            if record.leaving:
                record.depart(Departure.WITHDRAWN, now)
            else:
                record.silent_since = end

    def _update_mass_loss(self, now: float) -> list[DirectoryEffect]:
        excluded = sum(record.is_excluded for record in self.unsettled.values())
        known = len(self.records) - excluded
        silent = [
            record
            for record in self.unsettled.values()
            if record.silent_since is not None
        ]
        return self.mass_loss.update(silent, known, now)

    def _remove_if_due(self, record: UpstreamRecord, now: float) -> None:
        if record.silent_since is None or self.mass_loss.is_doubtful(record, now):
            return
        lease = self.config.max_silence_seconds(record.announce.lease_seconds)
        if record.is_confirmed(self.config, now):
            due_after = max(self.config.removal_seconds, lease)
        elif self.other_entries:
            due_after = self.config.unconfirmed_removal_seconds
        else:
            due_after = self.config.sole_observer_removal_seconds
        if record.silent_seconds(now) >= due_after:
            record.depart(Departure.SILENT, now)

    def _send_suspicions(self, now: float) -> list[DirectoryEffect]:
        # In a mass loss this entry is probably the one that is partitioned; its
        # suspicions would only mislead the other entries.
        if self.mass_loss.ongoing:
            return []
        effects: list[DirectoryEffect] = []
        for name, record in self.unsettled.items():
            repeat_due = (
                now - record.suspicion_sent_at >= self.config.suspicion_repeat_seconds
            )
            if record.silent_since is not None and repeat_due:
                record.suspicion_sent_at = now
                silence = now - record.heard_at
                effects.append(SendSuspicion(Suspect(name, record.epoch, silence)))
        return effects

    def _unavailable_reason(
        self, record: UpstreamRecord, now: float
    ) -> UnavailableReason | None:
        if record.departure is not None:
            return UnavailableReason.REMOVED
        if record.leaving:
            return UnavailableReason.LEAVING
        if record.announce.description.upstream_id in self.draining:
            return UnavailableReason.DRAINING
        if record.silent_since is not None and not self.mass_loss.is_doubtful(
            record, now
        ):
            return UnavailableReason.SUSPECTED
        if now < record.held_until:
            return UnavailableReason.HELD_BACK
        return None

    def _publish_all(
        self, records: Iterable[UpstreamRecord], now: float
    ) -> list[DirectoryEffect]:
        return [effect for record in records for effect in self._publish(record, now)]

    def _publish(self, record: UpstreamRecord, now: float) -> list[DirectoryEffect]:
        """Publish to the router what has changed since the last time."""
        name = record.announce.description.upstream_id
        reason = self._unavailable_reason(record, now)
        if reason is None and record.silent_since is None:
            self.unsettled.pop(name, None)
        else:
            self.unsettled[name] = record
        if reason is not None:
            return self._publish_unavailable(record, reason)
        announce = record.announce
        doubtful = self.mass_loss.is_doubtful(record, now)
        published = PublishedState(announce.epoch, announce.description, doubtful)
        if record.published == published:
            return []
        record.published = published
        record.published_reason = None
        return [
            UpstreamAvailable(
                announce.description, announce.epoch, announce.load, doubtful
            )
        ]

    def _publish_unavailable(
        self, record: UpstreamRecord, reason: UnavailableReason
    ) -> list[DirectoryEffect]:
        if record.published is None and record.published_reason is reason:
            return []
        record.published = None
        record.published_reason = reason
        name = record.announce.description.upstream_id
        return [UpstreamUnavailable(name, reason)]
