"""Decide by the ends of upstreams which requests may run, and tell others of them."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from threading import RLock
from typing import NamedTuple

from cowslipshelf_core.gateway import (
    AllowedAlone,
    HeldBack,
    ListedSuspect,
    QuarantineConfig,
    RequestDigest,
    RequestQuarantine,
    SuspectRequestReport,
    SuspectRequestsTold,
    Verdict,
    suspect_report_problem,
)
from cowslipshelf_core.identifiers import CustomerName, InstanceId, UpstreamId
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
MAX_REPORTS_PER_MESSAGE = 4_000
"""Requests that one message may tell of; a process remembers fewer."""


class RequestIdentity(NamedTuple):
    """Be what tells whether a request may run, and whose it is."""

    request_id: str
    """The caller's id of it, for the log."""
    digest: RequestDigest
    customer: CustomerName | None


class SuspectRequests:
    """Keep what one process knows of requests that end upstreams; any thread may ask.

    What it learns it tells by `tell`, which is given the digest of what has changed.
    """

    def __init__(
        self,
        instance: InstanceId,
        metrics: Metrics,
        broadcast: Callable[[RequestDigest], None],
    ) -> None:
        self.quarantine = RequestQuarantine.from_config(QuarantineConfig(instance))
        self.metrics = metrics
        self.broadcast = broadcast
        self.lock = RLock()
        self.change_count = 0
        """Counts what was learned."""
        for name, text in HELPS.items():
            metrics.describe(name, text)

    def verdict(self, request: RequestIdentity) -> Verdict:
        """Decide whether a request may run now."""
        with self.lock:
            verdict = self.quarantine.verdict(request.digest, time.monotonic())
        if isinstance(verdict, HeldBack):
            self.metrics.count(REFUSALS)
            LOG.info(
                "Request held back.",
                request=request.request_id,
                digest=request.digest,
                customer=request.customer,
                upstreams=verdict.upstreams,
                left_seconds=round(verdict.left_seconds, 3),
                retry_after=verdict.retry_after_seconds,
            )
        return verdict

    def claim(self, request: RequestIdentity) -> Verdict:
        """Decide whether a request may run now, and begin its trial if it needs one.

        Of two threads that ask for one suspect, one may try it.
        """
        with self.lock:
            verdict = self.verdict(request)
            if isinstance(verdict, AllowedAlone):
                self.begin_trial(request, verdict)
        return verdict

    @contextmanager
    def trial(self, request: RequestIdentity, verdict: Verdict) -> Iterator[None]:
        """Keep a suspect from running elsewhere meanwhile."""
        if not isinstance(verdict, AllowedAlone):
            yield
            return
        self.begin_trial(request, verdict)
        try:
            yield
        finally:
            self.end_trial(request)

    def begin_trial(self, request: RequestIdentity, verdict: AllowedAlone) -> None:
        """Note that a suspect is tried here."""
        LOG.info(
            "Suspect tried.",
            request=request.request_id,
            digest=request.digest,
            customer=request.customer,
            upstreams=self.quarantine.exited_upstreams(request.digest),
            probe=verdict.probe,
        )
        with self.lock:
            self.quarantine.begin_trial(request.digest, verdict, time.monotonic())
        self.note_change(request.digest)

    def end_trial(self, request: RequestIdentity) -> None:
        """Note that a trial is over, whatever came of it."""
        with self.lock:
            self.quarantine.end_trial(request.digest)
        self.note_change(request.digest)

    def record_exit(self, request: RequestIdentity, upstream_id: UpstreamId) -> None:
        """Note that an upstream ended under a request."""
        now = time.monotonic()
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

    def record_answer(self, request: RequestIdentity) -> None:
        """Clear a request that an upstream has answered whole."""
        with self.lock:
            cleared = self.quarantine.record_answer(request.digest, time.monotonic())
        if cleared:
            LOG.info(
                "Suspect cleared.", request=request.request_id, digest=request.digest
            )
            self.note_change(request.digest)

    def note_change(self, digest: RequestDigest) -> None:
        """Tell the others what has changed."""
        self.change_count += 1
        self.broadcast(digest)

    def merge_reports(self, sender: InstanceId, message: SuspectRequestsTold) -> None:
        """Take in what another process tells, or what this one knew before."""
        for told in message.suspects[:MAX_REPORTS_PER_MESSAGE]:
            problem = suspect_report_problem(told)
            if problem is not None:
                LOG.warning("Word of a suspect refused.", peer=sender, problem=problem)
                continue
            self.merge_report(sender, told)

    def merge_report(self, sender: InstanceId, told: SuspectRequestReport) -> None:
        """Take in word of one request."""
        with self.lock:
            before = self.quarantine.exit_count(told.digest)
            if not self.quarantine.merge_report(told, time.monotonic()):
                return
            self.change_count += 1
            ends = self.quarantine.exit_count(told.digest)
        if ends != before:
            LOG.info(
                "Suspect heard of.",
                peer=sender,
                digest=told.digest,
                upstreams=self.quarantine.exited_upstreams(told.digest),
                ends=ends,
                before=before,
            )

    def release(self, digest: RequestDigest, by: str) -> bool:
        """Clear a request on somebody's word; return whether anything was known."""
        with self.lock:
            released = self.quarantine.record_answer(digest, time.monotonic())
        if released:
            LOG.info("Suspect released.", digest=digest, by=by)
            self.note_change(digest)
        return released

    def listed(self) -> tuple[ListedSuspect, ...]:
        """List the requests against which something speaks, the worst first."""
        with self.lock:
            return self.quarantine.listed(time.monotonic())

    def forget_old(self) -> None:
        """Forget what is too old to matter, and show how many are held back."""
        with self.lock:
            forgotten = self.quarantine.forget_old(time.monotonic())
            held = len(self.quarantine.held_requests())
        for digest in forgotten:
            LOG.info("Request let go.", digest=digest)
        self.metrics.gauge(HELD, held)

    def reports(self, digests: frozenset[RequestDigest]) -> SuspectRequestsTold:
        """Write what is known of some requests."""
        with self.lock:
            suspects = self.quarantine.reports(digests, time.monotonic())
        return SuspectRequestsTold(suspects)

    def all_reports(self) -> SuspectRequestsTold:
        """Write what is known of all requests."""
        return self.most_suspect_reports(len(self.quarantine.suspects))

    def most_suspect_reports(self, count: int) -> SuspectRequestsTold:
        """Write what is known of the requests against which most speaks."""
        with self.lock:
            return self.reports(self.quarantine.most_suspect(count))
