"""Test stand-ins as processes, and clients against failing processes."""

import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator

import msgspec
import pytest
import urllib3

from common.upstreams import client_of, completion, text_of
from cowslipshelf_upstreams import UpstreamLostError

SILENCE_SECONDS = 0.1
SLOW_DECODE = ("--decode-seconds-per-token", "0.05", "--tick-seconds", "0")
Start = Callable[..., tuple[subprocess.Popen[str], dict]]


@pytest.fixture
def start() -> Iterator[Start]:
    """Start stand-ins, and kill them after the test."""
    started = []

    def begin(*arguments: str) -> tuple[subprocess.Popen[str], dict]:
        process = subprocess.Popen(
            [sys.executable, "-m", "cowslipshelf_standins", *arguments],
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )
        started.append(process)
        return process, msgspec.json.decode(process.stdout.readline())

    yield begin
    for process in started:
        process.kill()
        process.wait()
        process.stdout.close()


@pytest.mark.parametrize("kind", ["engine", "plain", "weightstore"])
def test_a_process_hosts_several_stand_ins_and_ends_on_a_signal(start, kind) -> None:
    process, ready = start(kind, "--count", "3")
    assert len(set(ready["addresses"])) == 3
    for address in ready["addresses"]:
        answer = urllib3.request("GET", f"http://{address}/_faults", timeout=20.0)
        assert answer.json()["freeze"] is False
    process.send_signal(signal.SIGTERM)
    assert process.wait(20.0) == 0


def test_a_stopped_engine_is_noticed_and_its_stream_goes_on_later(start) -> None:
    """An engine's process stops in the middle of an answer and continues later.

    The kernel still accepts new connections, but nothing answers them. Once the process
    continues, the client gets exactly the rest.
    """
    process, ready = start("engine", *SLOW_DECODE)
    short_timeout = client_of(ready["address"], SILENCE_SECONDS)
    long_timeout = client_of(ready["address"], silence_seconds=20.0)
    asked = completion(max_tokens=20)
    stream = long_timeout.start(asked)
    pieces = [piece for _, piece in zip(range(2), stream, strict=False)]
    process.send_signal(signal.SIGSTOP)
    with pytest.raises(UpstreamLostError) as caught:
        short_timeout.resume("attempt", 2)
    assert (caught.value.step, caught.value.peer) == ("resume", ready["address"])
    with pytest.raises(UpstreamLostError):
        short_timeout.inventory()
    process.send_signal(signal.SIGCONT)
    delivered = sum(piece.tokens for piece in pieces)
    pieces += long_timeout.resume("attempt", 2, delivered)
    assert sum(piece.tokens for piece in pieces) == 20
    text = "".join(text_of(piece.data) for piece in pieces)
    again = list(long_timeout.start(asked._replace(attempt_id="again")))
    assert text == "".join(text_of(piece.data) for piece in again)


def test_a_killed_engine_ends_the_answer_with_an_error(start) -> None:
    """An engine is killed in the middle of an answer; another one continues it."""
    process, ready = start("engine", *SLOW_DECODE)
    _, other = start("engine", *SLOW_DECODE)
    asked = completion(max_tokens=30)
    pieces = []
    with pytest.raises(UpstreamLostError):
        for piece in client_of(ready["address"]).start(asked):
            pieces.append(piece)
            process.kill()
    delivered = sum(piece.tokens for piece in pieces)
    assert 0 < delivered < 30
    process.wait(20.0)
    with pytest.raises(UpstreamLostError) as caught:
        client_of(ready["address"]).start(asked)
    assert not caught.value.may_have_arrived
    client = client_of(other["address"])
    pieces += client.start(asked._replace(delivered_tokens=delivered))
    text = "".join(text_of(piece.data) for piece in pieces)
    again = list(client.start(asked._replace(attempt_id="again")))
    assert text == "".join(text_of(piece.data) for piece in again)
