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
GRACE_SECONDS = 5.0
"""Time after its deadline at which an answer that still comes is given up."""
READ_BYTES = 64 * 1024
SHOWN_CHARACTERS = 60


class SenderConfig(NamedTuple):
    """Set where requests go and what they ask for."""

    addresses: tuple[str, ...]
    model: str
    output_tokens: int
    deadline_seconds: float
    max_concurrent: int
    marker: str
    """Begins every prompt, so that two loads share no prefix by accident."""
    keys: Mapping[str, str]
    """Keys by customer."""

    def __repr__(self) -> str:
        """Leave the keys out."""
        return f"SenderConfig(addresses={self.addresses!r}, model={self.model!r})"


class Sender:
    """Send requests to the entries in turn, from any thread."""

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
                connect=CONNECT_SECONDS, read=config.deadline_seconds + GRACE_SECONDS
            ),
        )

    def send(self, arrival: Arrival, planned: float) -> Outcome:
        """Send one request and read its answer to the end."""
        number = next(self.numbers)
        address = self.config.addresses[number % len(self.config.addresses)]
        try:
            response = self.request(address, arrival, number)
        except (HTTPError, OSError) as error:
            return Outcome(arrival, Ending.UNREACHABLE, error_text(error))
        return self.read(response, arrival, planned)

    def request(
        self, address: str, arrival: Arrival, number: int
    ) -> urllib3.BaseHTTPResponse:
        """Send the request and wait for the head of its answer."""
        config = self.config
        prompt = CompletionBody(
            config.model,
            f"{config.marker}-{number}-",
            arrival.prompt_tokens,
            config.output_tokens,
        )
        return self.pool.request(
            "POST",
            f"http://{address}{COMPLETIONS_PATH}",
            body=prompt.pieces(),
            headers={
                "Authorization": f"Bearer {config.keys[arrival.customer]}",
                "Content-Type": "application/json",
                "Content-Length": str(prompt.length()),
                DEADLINE_HEADER: f"{config.deadline_seconds:g}",
            },
            preload_content=False,
        )

    def read(
        self, response: urllib3.BaseHTTPResponse, arrival: Arrival, planned: float
    ) -> Outcome:
        """Read the answer, and give it up some time after its deadline."""
        reader = AnswerReader(response.status)
        first: float | None = None
        limit = planned + self.config.deadline_seconds + GRACE_SECONDS
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
        self.give_back(response, reusable=ending is Ending.WHOLE and not broken)
        total = self.now() - planned
        return Outcome(arrival, ending, code, 0.0, first, total)

    def give_back(self, response: urllib3.BaseHTTPResponse, *, reusable: bool) -> None:
        """Keep the connection for the next request, or close it."""
        if not reusable:
            response.close()
        response.release_conn()

    def close(self) -> None:
        """Close pooled connections."""
        self.pool.clear()


def error_text(error: Exception) -> str:
    """Name what broke, without the parts that differ each time."""
    return type(error).__name__[:SHOWN_CHARACTERS]
