"""Keep the leases of announced upstreams."""

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
from cowslipshelf_core.internal.directory.mass_loss import MassLossJudge
from cowslipshelf_core.internal.directory.record import (
    Departure,
    Freshness,
    Shown,
    UpstreamRecord,
)
from cowslipshelf_core.internal.pause_detector import PauseDetector
from cowslipshelf_core.messages import Announce, Suspect, Withdraw


@dataclass
class Directory:
    """Tell the router which upstreams may be given work, as one entry sees them."""

    config: DirectoryConfig
    watch: PauseDetector
    mass_loss: MassLossJudge
    records: dict[UpstreamId, UpstreamRecord] = field(default_factory=dict)
    restless: dict[UpstreamId, UpstreamRecord] = field(default_factory=dict)
    """Upstreams that are not both heard and in use; ticks look at these only."""
    earliest_lease_end: float = float("-inf")
    """No lease ends before this; leases are mostly prolonged before they end."""
    draining: frozenset[UpstreamId] = frozenset()
    others: frozenset[InstanceId] = frozenset()
    next_rejoin_at: float = float("-inf")

    @classmethod
    def from_config(cls, config: DirectoryConfig) -> Self:
        """Start knowing no upstream."""
        watch = PauseDetector()
        return cls(config, watch, MassLossJudge(config))

    def handle(self, event: DirectoryEvent, now: float) -> list[DirectoryEffect]:
        """Take in one event at `now` (monotonic seconds)."""
        match event:
            case AnnounceArrived(announce):
                return self._take_announce(announce, now)
            case WithdrawArrived(withdraw):
                return self._take_withdraw(withdraw, now)
            case SuspectArrived(sender, suspect):
                self._take_suspicion(sender, suspect, now)
                return []
            case ObserversChanged(others):
                self.others = others
                return []
            case DrainingChanged(draining):
                return self._change_draining(draining, now)
            case TickElapsed():
                return self._tick(now)

    def _take_announce(self, announce: Announce, now: float) -> list[DirectoryEffect]:
        upstream_id = announce.description.upstream_id
        record = self.records.get(upstream_id)
        if record is None:
            record = UpstreamRecord.from_announce(announce, now)
            self.records[upstream_id] = record
            self._expect_lease_end(record)
            return self._show(record, now)
        freshness = record.freshness(announce)
        if freshness is Freshness.LATE:
            return []
        effects: list[DirectoryEffect] = []
        restarted = freshness is Freshness.RESTARTED
        if restarted:
            effects += self._hide(record, UnavailableReason.RESTARTED)
            record.retire_epoch(self.config.max_retired_epochs)
        if restarted or record.is_absent:
            self._admit_again(record, now)
        newer_load = announce.load.sequence > record.announce.load.sequence
        record.take(announce, now)
        self._expect_lease_end(record)
        changes = self._show(record, now)
        if not changes and newer_load and record.shown is not None:
            changes.append(LoadUpdated(upstream_id, announce.epoch, announce.load))
        return effects + changes

    def _admit_again(self, record: UpstreamRecord, now: float) -> None:
        if not record.lost_in_mass:
            record.note_flap(self.config, now)
            return
        # After a cut on our side everything comes back at once. One by one, each meets
        # the load that waits for it before the next is offered as the emptiest.
        record.lost_in_mass = False
        if record.shown is None:
            record.held_until = max(now, self.next_rejoin_at)
            self.next_rejoin_at = record.held_until + self.config.rejoin_spacing_seconds

    def _take_withdraw(self, withdraw: Withdraw, now: float) -> list[DirectoryEffect]:
        record = self.records.get(withdraw.upstream_id)
        if record is None or record.epoch != withdraw.epoch:
            return []
        record.depart(Departure.WITHDRAWN, now)
        return self._show(record, now)

    def _take_suspicion(self, sender: InstanceId, suspect: Suspect, now: float) -> None:
        record = self.records.get(suspect.upstream_id)
        if record is not None and record.epoch == suspect.epoch:
            record.suspicions[sender] = now

    def _change_draining(
        self, draining: frozenset[UpstreamId], now: float
    ) -> list[DirectoryEffect]:
        changed = self.draining ^ draining
        self.draining = draining
        return self._show_all(
            (self.records[name] for name in changed if name in self.records), now
        )

    def _tick(self, now: float) -> list[DirectoryEffect]:
        standstill = self.watch.tick(now)
        # See PauseDetector: else the whole fleet would seem to have fallen silent.
        if standstill:
            self._prolong_leases(standstill, now)
        self._drop_forgotten(now)
        self._end_leases(now)
        effects = self._judge_mass_loss(now)
        for record in self.restless.values():
            self._remove_if_due(record, now)
        effects += self._show_all(tuple(self.restless.values()), now)
        effects += self._tell_suspicions(now)
        return effects

    def _prolong_leases(self, seconds: float, now: float) -> None:
        for record in self.records.values():
            record.heard_at = min(now, record.heard_at + seconds)

    def _drop_forgotten(self, now: float) -> None:
        oldest = now - self.config.flap_reset_seconds
        forgotten = [
            name
            for name, record in self.restless.items()
            if record.departure is not None and record.departed_at < oldest
        ]
        for name in forgotten:
            del self.records[name]
            del self.restless[name]

    def _expect_lease_end(self, record: UpstreamRecord) -> None:
        # An announcement may also shorten the lease.
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
            self.restless[name] = record
            if record.leaving:
                record.depart(Departure.WITHDRAWN, now)
            else:
                record.silent_since = end

    def _judge_mass_loss(self, now: float) -> list[DirectoryEffect]:
        uncounted = sum(record.is_uncounted for record in self.restless.values())
        known = len(self.records) - uncounted
        silent = [
            record
            for record in self.restless.values()
            if record.silent_since is not None
        ]
        return self.mass_loss.judge(silent, known, now)

    def _remove_if_due(self, record: UpstreamRecord, now: float) -> None:
        if record.silent_since is None or self.mass_loss.is_doubtful(record, now):
            return
        lease = self.config.max_silence_seconds(record.announce.lease_seconds)
        if record.is_confirmed(self.config, now):
            due_after = max(self.config.removal_seconds, lease)
        elif self.others:
            due_after = self.config.unconfirmed_removal_seconds
        else:
            due_after = self.config.sole_observer_removal_seconds
        if record.silent_seconds(now) >= due_after:
            record.depart(Departure.SILENT, now)

    def _tell_suspicions(self, now: float) -> list[DirectoryEffect]:
        # In a mass loss this entry is the likelier one to be cut off; its word on
        # others would only mislead those who hear them.
        if self.mass_loss.ongoing:
            return []
        effects: list[DirectoryEffect] = []
        for name, record in self.restless.items():
            rested = now - record.told_at >= self.config.suspicion_repeat_seconds
            if record.silent_since is not None and rested:
                record.told_at = now
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

    def _show_all(
        self, records: Iterable[UpstreamRecord], now: float
    ) -> list[DirectoryEffect]:
        return [effect for record in records for effect in self._show(record, now)]

    def _show(self, record: UpstreamRecord, now: float) -> list[DirectoryEffect]:
        """Tell what has changed for the router since it was last told."""
        name = record.announce.description.upstream_id
        reason = self._unavailable_reason(record, now)
        if reason is None and record.silent_since is None:
            self.restless.pop(name, None)
        else:
            self.restless[name] = record
        if reason is not None:
            return self._hide(record, reason)
        announce = record.announce
        doubtful = self.mass_loss.is_doubtful(record, now)
        shown = Shown(announce.epoch, announce.description, doubtful)
        if record.shown == shown:
            return []
        record.shown = shown
        record.shown_reason = None
        return [
            UpstreamAvailable(
                announce.description, announce.epoch, announce.load, doubtful
            )
        ]

    def _hide(
        self, record: UpstreamRecord, reason: UnavailableReason
    ) -> list[DirectoryEffect]:
        if record.shown is None and record.shown_reason is reason:
            return []
        record.shown = None
        record.shown_reason = reason
        name = record.announce.description.upstream_id
        return [UpstreamUnavailable(name, reason)]
