"""Raise the limit on headers while clients keep their connections open."""

import asyncio
import sys
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from fleet import (
    BROKEN,
    HELD,
    HTTP_OK,
    NOT_RUN,
    Answer,
    Fleet,
    Gateway,
    Record,
    Runner,
    caller_headers,
    configuration,
    has_trouble,
    loopback_hosts,
    plain_service,
    play,
    read_answer,
    request_bytes,
    route,
)

CLIENTS = 30
REQUESTS_BEFORE = 3
SMALL_BYTES, LARGE_BYTES = 8_000, 40_000
"""Sizes of a header before the change, and after it."""
OLD_LIMIT, NEW_LIMIT = 16_384, 65_536
PART_BYTES = 20_000
"""A header arrives in parts of this size, as it does over most networks."""
PART_SECONDS = 0.05
DEADLINE_MS = 3000
CALM_SECONDS = 6.0
"""Time from the acknowledgement until the first large header: three times
`config_apply_ms`."""
ALLOWED, ALLOWED_SHARE = 5, 1 / 500
PROMISES = {408, 421, 429}


class Sent(NamedTuple):
    """Hold a request and its answer."""

    attempt_id: str
    answer: Answer

    @property
    def is_denied(self) -> bool:
        """Return whether a gateway itself ended it with a 3xx or 4xx."""
        status = self.answer.status
        own = "x-response-stamp" not in self.answer.headers
        return own and 300 <= status < 500 and status not in PROMISES


def document(version: int, header_bytes: int) -> dict:
    """Return a configuration with a limit on headers."""
    book = route("r-book", "/book/", "postroom", "non_idempotent")
    sent = configuration(version, [book], [plain_service("postroom")])
    sent["limits"]["max_header_bytes"] = header_bytes
    return sent


class Client:
    """Send requests over one connection that is kept open."""

    def __init__(self, number: int, gateway: Gateway, record: Record) -> None:
        self.number = number
        self.gateway = gateway
        self.record = record
        self.sent: list[Sent] = []
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, header_bytes: int) -> None:
        """Send one request on the open connection, or on a new one."""
        if self.streams is None:
            self.streams = await asyncio.open_connection(*self.gateway.address("front"))
        reader, writer = self.streams
        attempt_id = f"booking-{self.number}-{len(self.sent)}"
        headers = caller_headers(attempt_id, DEADLINE_MS)
        headers["X-Context"] = "c" * header_bytes
        data = request_bytes("POST", "/book/x", headers, b"b" * 100)
        answering = asyncio.create_task(read_answer(reader))
        while data and not answering.done():
            writer.write(data[:PART_BYTES])
            data = data[PART_BYTES:]
            await asyncio.sleep(PART_SECONDS)
        answer = await answering
        self.sent.append(Sent(attempt_id, answer))
        self.record.write(
            "client POST /book/x",
            id=attempt_id,
            header_bytes=header_bytes,
            status=answer.status or answer.error,
        )
        if not answer.complete or answer.headers.get("connection") == "close":
            writer.close()
            self.streams = None


async def case(record: Record) -> int:
    """Change the limit between small and large headers."""
    fleet = Fleet.of(record, count=3)
    runner = Runner(record, "postroom", "i-7f3a91c2", loopback_hosts(9)[8])
    await runner.start()
    tasks = []
    try:
        for gateway in fleet.gateways:
            gateway.start(bootstrap=True)
        tasks.append(asyncio.create_task(runner.beat(fleet.gateways)))
        # Without the disruption, the limit is the larger one from the start.
        first = OLD_LIMIT if has_trouble() else NEW_LIMIT
        if await fleet.put(document(7, first), fleet.gateways, 15.0) != HTTP_OK:
            return NOT_RUN
        if not await fleet.wait_ready(fleet.gateways, 10.0):
            return NOT_RUN
        await asyncio.sleep(2.0)
        clients = [
            Client(number, fleet.gateways[number % 3], record)
            for number in range(CLIENTS)
        ]
        for _ in range(REQUESTS_BEFORE):
            await asyncio.gather(*(client.send(SMALL_BYTES) for client in clients))
            await asyncio.sleep(0.5)
        if await fleet.put(document(8, NEW_LIMIT), fleet.gateways, 10.0) != HTTP_OK:
            return NOT_RUN
        held_at = time.monotonic()
        await asyncio.sleep(CALM_SECONDS)
        await asyncio.gather(*(client.send(LARGE_BYTES) for client in clients))
        record.write(
            "large headers sent", seconds_after_ack=round(time.monotonic() - held_at, 1)
        )
        sent = [each for client in clients for each in client.sent]
        denied = [each for each in sent if each.is_denied]
        record.write("sum", sent=len(sent), denied=len(denied))
        allowed = ALLOWED + ALLOWED_SHARE * len(sent)
        return BROKEN if len(denied) > allowed else HELD
    finally:
        for task in tasks:
            task.cancel()
        fleet.end()


if __name__ == "__main__":
    play(__file__, case)
