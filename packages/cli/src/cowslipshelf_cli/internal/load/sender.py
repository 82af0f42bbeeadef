"""Send requests of a load over HTTP and read their streamed answers."""

from collections.abc import Callable, Mapping
from itertools import count
from typing import NamedTuple

import urllib3
from urllib3.exceptions import HTTPError

from cowslipshelf_cli.internal.load.answer_reader import AnswerReader
from cowslipshelf_cli.internal.load.completion_body import CompletionBody
from cowslipshelf_cli.internal.load.outcome import Ending, Outcome
from cowslipshelf_cli.internal.load.shape import Arrival
from cowslipshelf_host.clock import SYSTEM_CLOCK

COMPLETIONS_PATH = "/v1/completions"
DEADLINE_HEADER = "X-Deadline-Seconds"
CONNECT_SECONDS = 5.0
DEADLINE_GRACE_SECONDS = 5.0
"""Time after its deadline at which an unfinished answer is abandoned."""
READ_BYTES = 64 * 1024
MAX_NAME_CHARACTERS = 60


class SenderConfig(NamedTuple):
    """Configure the addresses, the requests and the customers' keys."""

    addresses: tuple[str, ...]
    model: str
    output_tokens: int
    deadline_seconds: float
    max_concurrent: int
    marker: str
    """Prefix of every prompt, so that two loads share no cached prefix."""
    keys: Mapping[str, str]
    """Keys by customer."""

    def __repr__(self) -> str:
        """Omit the keys."""
        return f"SenderConfig(addresses={self.addresses!r}, model={self.model!r})"


class Sender:
    """Send requests to the entries in turn; safe to use from several threads."""

    def __init__(
        self, config: SenderConfig, now: Callable[[], float] = SYSTEM_CLOCK.monotonic
    ) -> None:
        self.config = config
        self.now = now
        self.numbers = count()
        self.pool = urllib3.PoolManager(
            num_pools=len(config.addresses),
            maxsize=config.max_concurrent,
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_SECONDS,
                read=config.deadline_seconds + DEADLINE_GRACE_SECONDS,
            ),
        )

    def send(self, arrival: Arrival, planned: float) -> Outcome:
        """Send one request and read its whole answer."""
        number = next(self.numbers)
        address = self.config.addresses[number % len(self.config.addresses)]
        try:
            response = self.send_request(address, arrival, number)
        except (HTTPError, OSError) as error:
            return Outcome(arrival, Ending.UNREACHABLE, error_text(error))
        return self.read_answer(response, arrival, planned)

    def send_request(
        self, address: str, arrival: Arrival, number: int
    ) -> urllib3.BaseHTTPResponse:
        """Send the request and wait for the headers of its answer."""
        config = self.config
        body = CompletionBody(
            config.model,
            f"{config.marker}-{number}-",
            arrival.prompt_tokens,
            config.output_tokens,
        )
        return self.pool.request(
            "POST",
            f"http://{address}{COMPLETIONS_PATH}",
            body=body.chunks(),
            headers={
                "Authorization": f"Bearer {config.keys[arrival.customer]}",
                "Content-Type": "application/json",
                "Content-Length": str(body.length()),
                DEADLINE_HEADER: f"{config.deadline_seconds:g}",
            },
            preload_content=False,
        )

    def read_answer(
        self, response: urllib3.BaseHTTPResponse, arrival: Arrival, planned: float
    ) -> Outcome:
        """Read the answer, and abandon it some time after its deadline."""
        reader = AnswerReader(response.status)
        first: float | None = None
        limit = planned + self.config.deadline_seconds + DEADLINE_GRACE_SECONDS
        broken = ""
        try:
            while data := response.read1(READ_BYTES):
                reader.feed(data)
                if first is None and reader.tokens_seen:
                    first = self.now() - planned
                if self.now() > limit:
                    broken = "still going after its deadline"
                    break
        except (HTTPError, OSError) as error:
            broken = error_text(error)
        ending, code = reader.end()
        if broken and ending is not Ending.WHOLE:
            ending, code = Ending.CUT, broken
        self.release(response, reusable=ending is Ending.WHOLE and not broken)
        total = self.now() - planned
        return Outcome(arrival, ending, code, 0.0, first, total)

    def release(self, response: urllib3.BaseHTTPResponse, *, reusable: bool) -> None:
        """Return the connection to the pool, closed if it cannot be reused."""
        if not reusable:
            response.close()
        response.release_conn()

    def close(self) -> None:
        """Close pooled connections."""
        self.pool.clear()


def error_text(error: Exception) -> str:
    """Return the type of an error, without the details that differ each time."""
    return type(error).__name__[:MAX_NAME_CHARACTERS]
