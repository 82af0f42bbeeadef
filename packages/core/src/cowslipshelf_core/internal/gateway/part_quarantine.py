"""Hold back requests that share a prompt part under which upstreams exit.

Requests that differ in all else may each make an upstream exit by a part that they
share, so that none of them is suspect by itself.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Self

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.gateway.exit_evidence import (
    BrokenAttempt,
    ExitEvidence,
    PartQuarantineConfig,
)
from cowslipshelf_core.internal.gateway.held_part import HeldPart
from cowslipshelf_core.internal.gateway.messages import (
    BrokenPart,
    ExitPartsReport,
    PartReport,
    PromptPartsTold,
    UpstreamExit,
)
from cowslipshelf_core.internal.gateway.quarantine import (
    Allowed,
    AllowedAlone,
    HeldBack,
    ListedSuspect,
    Verdict,
)
from cowslipshelf_core.internal.gateway.request_digest import (
    PartDigest,
    RequestDigest,
    is_digest,
)
from cowslipshelf_core.internal.gateway.suspect_request import MAX_COUNT

TOLD_ANSWER_SECONDS = 60.0
"""Age of a told answer from which a later one is told again."""

RECENT_SECONDS = 30.0
"""Age up to which exits are reported again."""

EvidenceKey = UpstreamExit | PartDigest
"""What a gateway reports: an exit with its parts, or what is known of a part."""


@dataclass(slots=True)
class PartQuarantine:
    """Track the prompt parts under which upstreams exited."""

    config: PartQuarantineConfig
    evidence: ExitEvidence
    held: dict[PartDigest, HeldPart] = field(default_factory=dict)
    changed: set[EvidenceKey] = field(default_factory=set)
    """What changed here and was not taken for a report yet."""
    unconfirmed_answers: set[PartDigest] = field(default_factory=set)
    """Parts of exits that were answered here, as far as no gateway reported it."""
    told_answers: dict[PartDigest, float] = field(default_factory=dict)
    """The time of each part's last answer that all gateways were told of."""

    @classmethod
    def from_config(cls, config: PartQuarantineConfig) -> Self:
        """Create a quarantine without evidence."""
        return cls(config, ExitEvidence.from_config(config))

    def verdict(self, parts: Iterable[PartDigest], now: float) -> Verdict:
        """Decide whether a request with some parts may run."""
        parts = tuple(parts)
        tried, probe = [], False
        for part in parts:
            held = self.held.get(part)
            if held is None:
                continue
            doubted = self.is_doubted(part, parts)
            left_seconds = 0.0
            if not doubted:
                left_seconds = held.held_until(part, self.config) - now
            if left_seconds > 0.0:
                return HeldBack(self.upstreams(part), left_seconds, None)
            if held.is_on_trial(now, self.config):
                retry_after = self.config.alone_retry_seconds if doubted else None
                return HeldBack(
                    self.upstreams(part), self.config.trial_seconds, retry_after
                )
            tried.append(part)
            probe |= not doubted
        return AllowedAlone(probe, tuple(tried)) if tried else Allowed()

    def is_doubted(self, part: PartDigest, parts: Iterable[PartDigest]) -> bool:
        """Return whether a held part, which is not in the request, may be the reason.

        Two parts of the same requests can't be told apart by the exits under these.
        """
        if self.held[part].trial_exits >= self.config.doubted_trial_exits:
            return False
        others = self.held.keys() - set(parts)
        return any(self.evidence.covers(other, part) for other in others)

    def upstreams(self, part: PartDigest) -> tuple[UpstreamId, ...]:
        """Return the upstreams that exited under a part since it was answered."""
        exits = self.evidence.open_exits(part)
        ordered = sorted(exits, key=self.evidence.exits.__getitem__)
        return tuple(each.upstream_id for each in ordered)

    def record_exit(
        self,
        parts: Iterable[PartDigest],
        upstream_id: UpstreamId,
        attempt: BrokenAttempt,
        on_trial: bool,
        now: float,
    ) -> tuple[PartDigest, ...]:
        """Record an exit under a request with some parts; return those now held."""
        broken = dict.fromkeys(parts, attempt)
        if not broken:
            return ()
        if on_trial:
            for part in broken.keys() & self.held.keys():
                self.held[part].trial_exits += 1
        exited = self.evidence.identify_exit(upstream_id, now)
        if not self.evidence.record_exit(exited, broken, now):
            return ()
        self.changed.add(exited)
        return self.judge(exited, now)

    def judge(self, exited: UpstreamExit, now: float) -> tuple[PartDigest, ...]:
        """Hold the parts that an exit condemns; return those that were not held."""
        evidence = self.evidence
        at = evidence.exits.get(exited)
        if at is None:
            return ()
        parts = evidence.parts[exited].keys()
        for part in parts & self.held.keys():
            self.held[part].exited_at = max(self.held[part].exited_at, at)
            self.changed.add(part)
        self.note_answers(parts)
        explaining = tuple(self.held)
        condemned = [
            part
            for part in parts - self.held.keys()
            if evidence.is_condemned(part, explaining, now)
        ]
        for part in condemned:
            self.hold(part, HeldPart(at))
            self.changed.add(part)
        return tuple(part for part in condemned if part in self.held)

    def hold(self, part: PartDigest, held: HeldPart) -> None:
        """Hold a part back; forget another one if there are too many."""
        self.held[part] = held
        if len(self.held) > self.config.max_held:
            oldest = min(self.held, key=lambda each: self.held[each].last_event_at())
            del self.held[oldest]

    def note_answers(self, parts: Iterable[PartDigest]) -> None:
        """Prepare to report which parts of an exit were answered here lately."""
        for part in parts:
            told_at = self.told_answers.get(part, -math.inf)
            if self.evidence.answered_at(part) > told_at + TOLD_ANSWER_SECONDS:
                self.unconfirmed_answers.add(part)

    def record_answer(
        self, parts: Iterable[PartDigest], now: float
    ) -> tuple[PartDigest, ...]:
        """Record a complete answer; return the parts that are held no longer."""
        released = []
        for part in parts:
            cleared = self.evidence.record_answer(part, now)
            if self.held.pop(part, None) is not None:
                released.append(part)
                cleared = True
            if cleared:
                self.changed.add(part)
        return tuple(released)

    def is_cleared(self, part: PartDigest) -> bool:
        """Return whether too few exits of a held part are left since its answer.

        Without any exit on record since then, the last known one decides.
        """
        exits = self.evidence.open_exits(part)
        if not exits:
            return self.held[part].exited_at <= self.evidence.answered_at(part)
        return len(exits) < self.config.unknown_after_exits

    def begin_trial(self, parts: Iterable[PartDigest], probe: bool, now: float) -> None:
        """Record the beginning of a trial of some parts."""
        for part in self.held.keys() & set(parts):
            self.held[part].begin_trial(probe, now)
            self.changed.add(part)

    def end_trial(self, parts: Iterable[PartDigest]) -> None:
        """Record the end of a trial, whatever its outcome."""
        for part in self.held.keys() & set(parts):
            self.held[part].last_ended_trial = self.held[part].trials
            self.changed.add(part)

    def take_changed(self) -> frozenset[EvidenceKey]:
        """Return what changed here since the last call."""
        changed, self.changed = frozenset(self.changed), set()
        return changed

    def take_unconfirmed_answers(self) -> frozenset[EvidenceKey]:
        """Return the parts with answers of which other gateways may not know."""
        parts, self.unconfirmed_answers = self.unconfirmed_answers, set()
        return frozenset(parts)

    def known(self) -> frozenset[EvidenceKey]:
        """Return everything that a gateway which has just started may need."""
        return frozenset((*self.evidence.exits, *self.evidence.by_part, *self.held))

    def recent(self, now: float) -> frozenset[EvidenceKey]:
        """Return what a gateway that has missed messages may need."""
        exits = self.evidence.exits.items()
        oldest = now - RECENT_SECONDS
        return frozenset((*(each for each, at in exits if at > oldest), *self.held))

    def report(self, keys: Iterable[EvidenceKey], now: float) -> PromptPartsTold:
        """Return a report of some evidence for other gateways."""
        exits, parts = [], []
        evidence = self.evidence
        for key in keys:
            if isinstance(key, UpstreamExit):
                if key in evidence.exits:
                    exits.append(self.report_exit(key, now))
            else:
                parts.append(self.report_part(key, now))
        return PromptPartsTold(tuple(exits), tuple(parts))

    def report_exit(self, exited: UpstreamExit, now: float) -> ExitPartsReport:
        """Return the report of one exit."""
        at = self.evidence.exits[exited]
        parts = tuple(
            BrokenPart(part, max(0.0, at - attempt.began_at), attempt.request)
            for part, attempt in self.evidence.parts[exited].items()
        )
        return ExitPartsReport(exited, max(0.0, now - at), parts)

    def report_part(self, part: PartDigest, now: float) -> PartReport:
        """Return the report of one part, after which its answer counts as told."""
        answer_age = None
        if part in self.evidence.answered:
            answered_at = self.evidence.answered[part]
            answer_age = max(0.0, now - answered_at)
            self.confirm_answer(part, answered_at)
        held = self.held.get(part)
        return PartReport(part, answer_age, None if held is None else held.report(now))

    def confirm_answer(self, part: PartDigest, at: float) -> None:
        """Record that all gateways were told of an answer."""
        if part in self.evidence.by_part:
            self.told_answers[part] = max(self.told_answers.get(part, -math.inf), at)
        self.unconfirmed_answers.discard(part)

    def merge(self, told: PromptPartsTold, now: float) -> tuple[PartDigest, ...]:
        """Merge another gateway's report; return the parts that are held since."""
        before, changed = frozenset(self.held), frozenset(self.changed)
        for report in told.parts:
            self.merge_part(report, now)
        for report in told.exits:
            at = now - report.age_seconds
            broken = {
                each.part: BrokenAttempt(at - each.run_seconds, each.request)
                for each in report.parts
            }
            if self.evidence.record_exit(report.exit, broken, at):
                self.judge(report.exit, now)
        # Each gateway reports what it has seen itself.
        self.changed = set(changed)
        return tuple(part for part in self.held if part not in before)

    def merge_part(self, report: PartReport, now: float) -> None:
        """Merge another gateway's report of a part."""
        part = report.part
        if report.answer_age_seconds is not None:
            answered_at = now - report.answer_age_seconds
            self.evidence.record_answer(part, answered_at)
            self.confirm_answer(part, answered_at)
            if part in self.held and self.is_cleared(part):
                del self.held[part]
        if report.held is None:
            return
        if now - report.held.exit_age_seconds <= self.evidence.answered_at(part):
            # The other gateway has missed the answer.
            self.unconfirmed_answers.add(part)
            return
        if part in self.held:
            self.held[part].merge(report.held, now)
        else:
            self.hold(part, HeldPart.from_report(report.held, now))

    def listed(self, now: float) -> tuple[ListedSuspect, ...]:
        """Describe the parts that are held back."""
        return tuple(
            ListedSuspect(
                RequestDigest(part),
                self.upstreams(part),
                True,
                now - held.last_event_at(),
                max(0.0, held.held_until(part, self.config) - now),
            )
            for part, held in self.held.items()
        )

    def forget_old(self, now: float) -> tuple[PartDigest, ...]:
        """Remove outdated evidence; return the parts that are held no longer."""
        self.evidence.forget_old(now)
        self.told_answers = {
            part: at
            for part, at in self.told_answers.items()
            if part in self.evidence.by_part
        }
        oldest = now - self.config.forget_held_seconds
        old = [
            part for part, held in self.held.items() if held.last_event_at() < oldest
        ]
        for part in old:
            del self.held[part]
        return tuple(old)


def parts_report_problem(told: PromptPartsTold) -> str | None:
    """Return why a report of another gateway is invalid, or None if it is valid."""
    broken = [each for report in told.exits for each in report.parts]
    digests = [digest for each in broken for digest in (each.part, each.request)]
    digests += [report.part for report in told.parts]
    if not all(is_digest(each) for each in digests):
        return "a digest is none"
    held = [report.held for report in told.parts if report.held is not None]
    ages = [report.age_seconds for report in told.exits]
    ages += [each.run_seconds for each in broken]
    ages += [report.answer_age_seconds or 0.0 for report in told.parts]
    ages += [
        age for each in held for age in (each.exit_age_seconds, each.trial_age_seconds)
    ]
    if not all(math.isfinite(age) and age >= 0.0 for age in ages):
        return "an age is negative or not finite"
    counts = [report.exit.number for report in told.exits]
    counts += [
        count
        for each in held
        for count in (
            each.trials,
            each.last_ended_trial,
            each.probes,
            each.trial_exits,
        )
    ]
    if not all(0 <= count <= MAX_COUNT for count in counts):
        return "a count is out of bounds"
    return None
