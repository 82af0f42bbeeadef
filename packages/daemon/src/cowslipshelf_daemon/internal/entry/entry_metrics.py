"""Define the Prometheus metrics of an entry."""

from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.requests import CallerRequest
from cowslipshelf_fleet.mailboxes import Mailbox
from cowslipshelf_host.metrics import Metrics

REQUESTS = "cowslipshelf_requests_total"
FIRST_CHUNK = "cowslipshelf_first_chunk_seconds"
REQUEST = "cowslipshelf_request_seconds"
ADMISSION_REFUSED = "cowslipshelf_admission_refused_total"
OPEN_REQUESTS = "cowslipshelf_open_requests"
RETRIES = "cowslipshelf_retries_total"
MAILBOX = "cowslipshelf_mailbox_messages"
CONFIGURATION_VERSION = "cowslipshelf_configuration_version"
UPSTREAMS = "cowslipshelf_upstreams_heard"

LENGTH_BOUNDS = (2_000, 8_000, 32_000, 100_000, 400_000)
"""Upper bounds, in prompt tokens, of the buckets that label request times."""
LONGEST_BUCKET = "longer"

HELPS = {
    REQUESTS: "Requests that ended, by service and outcome.",
    FIRST_CHUNK: "Time to the first piece of the answer, by prompt length.",
    REQUEST: "Time to the end of the answer, by prompt length.",
    ADMISSION_REFUSED: "Calls refused before they were a request, by reason.",
    OPEN_REQUESTS: "Requests that run now.",
    RETRIES: "Questions for the retry budget, by its answer.",
    MAILBOX: "Messages of the mailbox since the start, by what became of them.",
    CONFIGURATION_VERSION: "Version of the configuration in force here.",
    UPSTREAMS: "Upstreams heard lately.",
}


def length_bucket(prompt_tokens: int) -> str:
    """Return the label of the bucket for a prompt of this length."""
    for bound in LENGTH_BOUNDS:
        if prompt_tokens <= bound:
            return str(bound)
    return LONGEST_BUCKET


class EntryMetrics:
    """Record the metrics of one entry; safe to use from any thread."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        for name, text in HELPS.items():
            self.metrics.describe(name, text)

    def admission_refused(self, refusal: Refusal) -> None:
        """Count a call that was refused at admission."""
        self.metrics.count(ADMISSION_REFUSED, reason=refusal.reason)

    def first_chunk(self, request: CallerRequest, seconds: float) -> None:
        """Record the time to the first chunk of an answer."""
        bucket = length_bucket(request.prompt_tokens)
        self.metrics.record_seconds(
            FIRST_CHUNK, seconds, service=request.service, prompt_up_to=bucket
        )

    def ended(self, request: CallerRequest, outcome: str, seconds: float) -> None:
        """Count a request that has ended, and record its duration."""
        self.metrics.count(REQUESTS, service=request.service, outcome=outcome)
        bucket = length_bucket(request.prompt_tokens)
        self.metrics.record_seconds(
            REQUEST, seconds, service=request.service, prompt_up_to=bucket
        )

    def retry(self, allowed: bool) -> None:
        """Count a request for a retry, and whether the retry budget allowed it."""
        self.metrics.count(RETRIES, allowed=str(allowed).lower())

    def mailbox(self, mailbox: Mailbox) -> None:
        """Set the gauges of the mailbox to its current counters."""
        for what, number in mailbox.counters._asdict().items():
            if isinstance(number, int):
                self.metrics.gauge(MAILBOX, number, what=what)

    def state(self, open_requests: int, version: int, upstreams: int) -> None:
        """Set the gauges of the process to its current state."""
        self.metrics.gauge(OPEN_REQUESTS, open_requests)
        self.metrics.gauge(CONFIGURATION_VERSION, version)
        self.metrics.gauge(UPSTREAMS, upstreams)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return self.metrics.prometheus_text()
