"""Decide by the ends of upstreams which requests may run, and learn from attempts."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.routed import (
    Alone,
    HeldBack,
    RequestDigest,
    SuspectRequestsTold,
    SuspectRequestTold,
    Verdict,
    problem_of,
)
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    Answered,
    AttemptOutcome,
    AttemptTask,
    Broken,
    FailedThere,
)
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.placement import Placement
from cowslipshelf_daemon.internal.gateway.suspect_requests_file import (
    SuspectRequestsFile,
)
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("suspect_requests")

MOST_TAKEN = 4_000
"""Requests that one message may tell of; a gateway remembers fewer."""


class SuspectRequests:
    """Keep what one gateway knows of requests that end upstreams."""

    def __init__(
        self, view: FleetView, metrics: Metrics, file: SuspectRequestsFile | None
    ) -> None:
        self.view = view
        self.quarantine = view.quarantine
        self.metrics = metrics
        self.file = file
        self.changes = 0
        """Counts what was learned, to know when the file is behind."""
        if file is not None:
            self.take(view.settings.instance, SuspectRequestsTold(file.read()))

    def verdict(self, task: AttemptTask) -> Verdict:
        """Decide whether a request may run now."""
        verdict = self.quarantine.verdict(task.digest, time.monotonic())
        match verdict:
            case HeldBack(upstreams=upstreams, left_seconds=left):
                self.metrics.count("cowslipshelf_requests_held_back_total")
                LOG.info(
                    "Request held back.",
                    request=task.facts.attempt_id,
                    digest=task.digest,
                    customer=task.customer,
                    upstreams=upstreams,
                    left_seconds=round(left, 3),
                    retry_after=verdict.retry_after_seconds,
                )
        return verdict

    @contextmanager
    def trial(self, task: AttemptTask, verdict: Verdict) -> Iterator[None]:
        """Keep a suspect from running elsewhere meanwhile."""
        if not isinstance(verdict, Alone):
            yield
            return
        LOG.info(
            "Suspect tried.",
            request=task.facts.attempt_id,
            digest=task.digest,
            customer=task.customer,
            upstreams=self.quarantine.upstreams_of(task.digest),
            probe=verdict.probe,
        )
        self.quarantine.begin_trial(task.digest, verdict, time.monotonic())
        self.tell(task.digest)
        try:
            yield
        finally:
            self.quarantine.end_trial(task.digest)
            self.tell(task.digest)

    def learn(
        self, task: AttemptTask, placement: Placement, outcome: AttemptOutcome
    ) -> None:
        """Note what an attempt says of its request."""
        match outcome:
            case Broken(upstream_ended=True):
                self.upstream_ended(task, placement)
            case Answered() | FailedThere():
                self.answered(task)

    def upstream_ended(self, task: AttemptTask, placement: Placement) -> None:
        """Note that an upstream ended under a request."""
        upstream_id = placement.upstream.upstream_id
        now = time.monotonic()
        if not self.quarantine.upstream_ended(task.digest, upstream_id, now):
            return
        self.metrics.count("cowslipshelf_upstream_ends_total")
        LOG.info(
            "Upstream ended.",
            request=task.facts.attempt_id,
            digest=task.digest,
            customer=task.customer,
            upstream=upstream_id,
            ends=self.quarantine.ends_of(task.digest),
        )
        self.tell(task.digest)

    def answered(self, task: AttemptTask) -> None:
        """Clear a request that an upstream has answered whole."""
        if self.quarantine.answered(task.digest, time.monotonic()):
            LOG.info(
                "Suspect cleared.", request=task.facts.attempt_id, digest=task.digest
            )
            self.tell(task.digest)

    def tell(self, digest: RequestDigest) -> None:
        """Tell the other gateways what has changed, and have it written down."""
        self.changes += 1
        self.view.tell_suspect(digest)

    def take(self, sender: InstanceId, message: SuspectRequestsTold) -> None:
        """Take in what another gateway tells, or what this one knew before."""
        for told in message.suspects[:MOST_TAKEN]:
            problem = problem_of(told)
            if problem is not None:
                LOG.warning("Word of a suspect refused.", peer=sender, problem=problem)
                continue
            self.take_suspect(sender, told)

    def take_suspect(self, sender: InstanceId, told: SuspectRequestTold) -> None:
        """Take in word of one request."""
        before = self.quarantine.ends_of(told.digest)
        if not self.quarantine.take(told, time.monotonic()):
            return
        self.changes += 1
        ends = self.quarantine.ends_of(told.digest)
        if ends != before:
            LOG.info(
                "Suspect heard of.",
                peer=sender,
                digest=told.digest,
                upstreams=self.quarantine.upstreams_of(told.digest),
                ends=ends,
                before=before,
            )

    def forget_old(self) -> None:
        """Forget what is too old to matter, and show how many are held back."""
        for digest in self.quarantine.forget_old(time.monotonic()):
            LOG.info("Request let go.", digest=digest)
        held = len(self.quarantine.held())
        self.metrics.gauge("cowslipshelf_requests_held", held)

    def write(self) -> None:
        """Write down what a restart will recall."""
        suspects = self.quarantine.suspects
        told = self.quarantine.told(suspects, time.monotonic())
        self.file.write_soon(told, self.changes)
