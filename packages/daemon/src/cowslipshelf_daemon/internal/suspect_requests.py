"""Hold back requests that make upstreams exit, and tell other processes of them."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from threading import RLock
from typing import NamedTuple

from cowslipshelf_core.gateway import (
    Allowed,
    AllowedAlone,
    BrokenAttempt,
    HeldBack,
    ListedSuspect,
    PartDigest,
    QuarantineConfig,
    RequestDigest,
    RequestQuarantine,
    SuspectRequestReport,
    SuspectRequestsTold,
    Verdict,
    suspect_report_problem,
)
from cowslipshelf_core.identifiers import CustomerName, InstanceId, UpstreamId
from cowslipshelf_daemon.internal.suspect_parts import SuspectParts
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("suspect_requests")

HELD = "cowslipshelf_requests_held"
REFUSALS = "cowslipshelf_requests_held_back_total"
UPSTREAM_EXITS = "cowslipshelf_upstream_ends_total"
HELPS = {
    HELD: "Requests that are held back since upstreams ended under them.",
    REFUSALS: "Times that such a request was refused.",
    UPSTREAM_EXITS: "Upstreams that ended under a request, as seen here.",
}
MAX_LOGGED_PARTS = 8
MAX_REPORTS_PER_MESSAGE = 4_000
"""Most reports that are read from one message; a process keeps fewer."""


class RequestIdentity(NamedTuple):
    """Hold what identifies a request to the quarantine and in the log."""

    request_id: str
    """Id that the caller gave the request, for the log."""
    digest: RequestDigest
    customer: CustomerName | None
    shared_parts: tuple[PartDigest, ...] = ()
    """Parts of its prompt that other prompts may share."""


class SuspectRequests:
    """Track the requests under which upstreams exited, as one process knows them.

    Any thread may call the methods. After each change, `broadcast` is called with the
    digest of the changed request, to send it to other processes; `broadcast_parts`
    after each change of what is known of the parts of prompts.
    """

    def __init__(
        self,
        instance: InstanceId,
        metrics: Metrics,
        broadcast: Callable[[RequestDigest], None],
        broadcast_parts: Callable[[], None],
    ) -> None:
        self.quarantine = RequestQuarantine.from_config(QuarantineConfig(instance))
        self.metrics = metrics
        self.broadcast = broadcast
        self.parts = SuspectParts(instance, metrics, broadcast_parts)
        self.trials: dict[str, AllowedAlone] = {}
        """The trials that run here, by the id of the request."""
        self.lock = RLock()
        self.change_count = 0
        """Number of changes; tells whether the stored copy is out of date."""
        for name, text in HELPS.items():
            metrics.describe(name, text)

    def verdict(self, request: RequestIdentity) -> Verdict:
        """Decide whether a request may run now."""
        with self.lock:
            verdict = self.quarantine.verdict(request.digest, time.monotonic())
        if not isinstance(verdict, HeldBack):
            by_parts = self.parts.verdict(request.shared_parts)
            verdict = verdict if isinstance(by_parts, Allowed) else by_parts
        if isinstance(verdict, HeldBack):
            self.metrics.count(REFUSALS)
            LOG.info(
                "Request held back.",
                request=request.request_id,
                digest=request.digest,
                parts=request.shared_parts[:MAX_LOGGED_PARTS],
                customer=request.customer,
                upstreams=verdict.upstreams,
                left_seconds=round(verdict.left_seconds, 3),
                retry_after=verdict.retry_after_seconds,
            )
        return verdict

    def claim(self, request: RequestIdentity) -> Verdict:
        """Decide whether a request may run now, and start its trial if it needs one.

        If two threads ask for the same suspect, only one of them may try it.
        """
        with self.lock:
            verdict = self.verdict(request)
            if isinstance(verdict, AllowedAlone):
                self.begin_trial(request, verdict)
        return verdict

    @contextmanager
    def trial(self, request: RequestIdentity, verdict: Verdict) -> Iterator[None]:
        """Keep a suspect from running elsewhere during its trial."""
        if not isinstance(verdict, AllowedAlone):
            yield
            return
        self.begin_trial(request, verdict)
        try:
            yield
        finally:
            self.end_trial(request)

    def begin_trial(self, request: RequestIdentity, verdict: AllowedAlone) -> None:
        """Record that the trial of a suspect starts here."""
        LOG.info(
            "Suspect tried.",
            request=request.request_id,
            digest=request.digest,
            parts=verdict.parts,
            customer=request.customer,
            upstreams=self.quarantine.exited_upstreams(request.digest),
            probe=verdict.probe,
        )
        self.trials[request.request_id] = verdict
        if verdict.parts:
            self.parts.begin_trial(verdict)
            return
        with self.lock:
            self.quarantine.begin_trial(request.digest, verdict, time.monotonic())
        self.note_change(request.digest)

    def end_trial(self, request: RequestIdentity) -> None:
        """Record that a trial is over, whatever its result."""
        verdict = self.trials.pop(request.request_id, None)
        if verdict is not None and verdict.parts:
            self.parts.end_trial(verdict.parts)
            return
        with self.lock:
            self.quarantine.end_trial(request.digest)
        self.note_change(request.digest)

    def record_exit(
        self, request: RequestIdentity, upstream_id: UpstreamId, began_at: float
    ) -> None:
        """Record that an upstream exited during an attempt of a request."""
        now = time.monotonic()
        self.parts.record_exit(
            request.shared_parts,
            upstream_id,
            BrokenAttempt(began_at, request.digest),
            on_trial=request.request_id in self.trials,
        )
        with self.lock:
            if not self.quarantine.record_exit(request.digest, upstream_id, now):
                return
        self.metrics.count(UPSTREAM_EXITS)
        LOG.info(
            "Upstream ended.",
            request=request.request_id,
            digest=request.digest,
            customer=request.customer,
            upstream=upstream_id,
            ends=self.quarantine.exit_count(request.digest),
        )
        self.note_change(request.digest)

    def record_answer(self, request: RequestIdentity, succeeded: bool = True) -> None:
        """Clear a request that an upstream has answered completely.

        An error doesn't clear the parts of its prompt: the upstream may have answered
        it before it read them.
        """
        if succeeded:
            self.parts.record_answer(request.shared_parts)
        with self.lock:
            cleared = self.quarantine.record_answer(request.digest, time.monotonic())
        if cleared:
            LOG.info(
                "Suspect cleared.", request=request.request_id, digest=request.digest
            )
            self.note_change(request.digest)

    def note_change(self, digest: RequestDigest) -> None:
        """Count a change and broadcast the changed request."""
        self.change_count += 1
        self.broadcast(digest)

    def merge_reports(self, sender: InstanceId, message: SuspectRequestsTold) -> None:
        """Merge reports of another process, or those that this one stored earlier."""
        for report in message.suspects[:MAX_REPORTS_PER_MESSAGE]:
            problem = suspect_report_problem(report)
            if problem is not None:
                LOG.warning("Word of a suspect refused.", peer=sender, problem=problem)
                continue
            self.merge_report(sender, report)

    def merge_report(self, sender: InstanceId, report: SuspectRequestReport) -> None:
        """Merge a report of one request."""
        with self.lock:
            before = self.quarantine.exit_count(report.digest)
            if not self.quarantine.merge_report(report, time.monotonic()):
                return
            self.change_count += 1
            exits = self.quarantine.exit_count(report.digest)
        if exits != before:
            LOG.info(
                "Suspect heard of.",
                peer=sender,
                digest=report.digest,
                upstreams=self.quarantine.exited_upstreams(report.digest),
                ends=exits,
                before=before,
            )

    def release(self, digest: RequestDigest, by: str) -> bool:
        """Clear a request or a prompt part for an operator; return whether it was held.

        A request with open exits is cleared as well.
        """
        part = PartDigest(digest)
        if any(each.digest == digest for each in self.parts.listed()):
            self.parts.record_answer((part,))
            LOG.info("Prompt part released.", prompt_part=part, by=by)
            return True
        with self.lock:
            released = self.quarantine.record_answer(digest, time.monotonic())
        if released:
            LOG.info("Suspect released.", digest=digest, by=by)
            self.note_change(digest)
        return released

    def listed(self) -> tuple[ListedSuspect, ...]:
        """Return the held prompt parts, then the requests, the most suspect first."""
        with self.lock:
            requests = self.quarantine.listed(time.monotonic())
        return self.parts.listed() + requests

    def forget_old(self) -> None:
        """Forget old suspects, and update the gauges of what is held."""
        self.parts.forget_old()
        with self.lock:
            forgotten = self.quarantine.forget_old(time.monotonic())
            held = len(self.quarantine.held_requests())
        for digest in forgotten:
            LOG.info("Request let go.", digest=digest)
        self.metrics.gauge(HELD, held)

    def reports(self, digests: frozenset[RequestDigest]) -> SuspectRequestsTold:
        """Return a message with the reports of some requests."""
        with self.lock:
            suspects = self.quarantine.reports(digests, time.monotonic())
        return SuspectRequestsTold(suspects)

    def all_reports(self) -> SuspectRequestsTold:
        """Return a message with the reports of all suspect requests."""
        return self.most_suspect_reports(len(self.quarantine.suspects))

    def most_suspect_reports(self, count: int) -> SuspectRequestsTold:
        """Return a message with the reports of the most suspect requests."""
        with self.lock:
            return self.reports(self.quarantine.most_suspect(count))
