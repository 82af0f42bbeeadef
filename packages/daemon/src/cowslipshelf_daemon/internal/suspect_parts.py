"""Hold back prompts with a part that makes upstreams exit, and tell other processes."""

import time
from collections.abc import Callable, Iterable
from threading import RLock

from cowslipshelf_core.gateway import (
    AllowedAlone,
    BrokenAttempt,
    EvidenceKey,
    ListedSuspect,
    PartDigest,
    PartQuarantine,
    PartQuarantineConfig,
    PromptPartsTold,
    Verdict,
    parts_report_problem,
)
from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("suspect_parts")

HELD = "cowslipshelf_prompt_parts_held"
HELPS = {HELD: "Parts of prompts that are held back since upstreams ended under them."}


class SuspectParts:
    """Track the prompt parts under which upstreams exited, as one process knows them.

    Any thread may call the methods. After each change, `broadcast` is called, to send
    what changed to other processes.
    """

    def __init__(
        self, instance: InstanceId, metrics: Metrics, broadcast: Callable[[], None]
    ) -> None:
        self.quarantine = PartQuarantine.from_config(PartQuarantineConfig(instance))
        self.metrics = metrics
        self.broadcast = broadcast
        self.lock = RLock()
        self.change_count = 0
        """Number of changes; tells whether the stored copy is out of date."""
        for name, text in HELPS.items():
            metrics.describe(name, text)

    def verdict(self, parts: Iterable[PartDigest]) -> Verdict:
        """Decide whether a request with some parts may run now."""
        with self.lock:
            return self.quarantine.verdict(parts, time.monotonic())

    def begin_trial(self, verdict: AllowedAlone) -> None:
        """Record that a trial of some parts starts here."""
        with self.lock:
            now = time.monotonic()
            self.quarantine.begin_trial(verdict.parts, verdict.probe, now)
        self.announce()

    def end_trial(self, parts: Iterable[PartDigest]) -> None:
        """Record that a trial is over, whatever its result."""
        with self.lock:
            self.quarantine.end_trial(parts)
        self.announce()

    def record_exit(
        self,
        parts: tuple[PartDigest, ...],
        upstream_id: UpstreamId,
        attempt: BrokenAttempt,
        on_trial: bool,
    ) -> None:
        """Record that an upstream exited under a request with some parts."""
        with self.lock:
            held = self.quarantine.record_exit(
                parts, upstream_id, attempt, on_trial, time.monotonic()
            )
            self.log_held(held, None)
        self.announce()

    def record_answer(self, parts: tuple[PartDigest, ...]) -> None:
        """Record that an upstream answered a request with some parts completely."""
        with self.lock:
            released = self.quarantine.record_answer(parts, time.monotonic())
        for part in released:
            LOG.info("Prompt part cleared.", prompt_part=part)
        self.announce()

    def announce(self) -> None:
        """Count and broadcast what changed, if anything did."""
        quarantine = self.quarantine
        if quarantine.changed:
            self.change_count += 1
        if quarantine.changed or quarantine.unconfirmed_answers:
            self.broadcast()

    def log_held(self, parts: Iterable[PartDigest], peer: InstanceId | None) -> None:
        """Log the parts that are held back from now on."""
        for part in parts:
            LOG.info(
                "Prompt part held.",
                prompt_part=part,
                upstreams=self.quarantine.upstreams(part),
                peer=peer,
            )

    def merge_report(self, sender: InstanceId, told: PromptPartsTold) -> None:
        """Merge the report of another process, or what this one stored earlier."""
        problem = parts_report_problem(told)
        if problem is not None:
            LOG.warning("Report of prompt parts refused.", peer=sender, problem=problem)
            return
        with self.lock:
            self.log_held(self.quarantine.merge(told, time.monotonic()), sender)
        self.change_count += 1
        self.announce()

    def listed(self) -> tuple[ListedSuspect, ...]:
        """Return the parts that are held back."""
        with self.lock:
            return self.quarantine.listed(time.monotonic())

    def forget_old(self) -> None:
        """Forget old evidence, and update the gauge of held parts."""
        with self.lock:
            forgotten = self.quarantine.forget_old(time.monotonic())
            held = len(self.quarantine.held)
        for part in forgotten:
            LOG.info("Prompt part let go.", prompt_part=part)
        self.metrics.gauge(HELD, held)

    def take_changed(self) -> frozenset[EvidenceKey]:
        """Return what changed here since the last call."""
        with self.lock:
            return self.quarantine.take_changed()

    def take_unconfirmed_answers(self) -> frozenset[EvidenceKey]:
        """Return the parts with answers of which other processes may not know."""
        with self.lock:
            return self.quarantine.take_unconfirmed_answers()

    def report(self, keys: Iterable[EvidenceKey]) -> PromptPartsTold:
        """Return a report of some evidence."""
        with self.lock:
            return self.quarantine.report(keys, time.monotonic())

    def recent_report(self) -> PromptPartsTold:
        """Return a report of the held parts and the last exits."""
        with self.lock:
            now = time.monotonic()
            return self.quarantine.report(self.quarantine.recent(now), now)

    def full_report(self) -> PromptPartsTold:
        """Return a report of everything that is known."""
        with self.lock:
            quarantine = self.quarantine
            return quarantine.report(quarantine.known(), time.monotonic())
