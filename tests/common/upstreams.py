"""Provide stand-ins, scripted peers and hand-overs for tests."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from threading import Thread
from typing import Any

import msgspec
from hypothesis import settings

from cowslipshelf_core.upstream import HandOver
from cowslipshelf_standins.engine import EngineConfig, EngineServer
from cowslipshelf_upstreams import EngineClient, EngineClientConfig

steady = settings(derandomize=True, deadline=None)

FAST_ENGINE = EngineConfig(
    time_scale=0.01,
    tick_seconds=0.0005,
    keep_alive_seconds=0.05,
    cache_event_delay_seconds=0.0,
    load_lag_seconds=0.0,
)

DEFAULT_HAND_OVER = HandOver(
    request_id="request",
    attempt_id="attempt",
    owner="entry-1",
    upstream_id="engine-1",
    sidecar_epoch="epoch",
    configuration_version=1,
    customer="mail-office",
    service="scribe",
    model="small",
    non_idempotent=False,
    deadline_seconds=20.0,
    prompt_tokens=4,
    max_output_tokens=8,
    priority=0,
    prefix_hash=0,
    method="POST",
    path="/v1/completions",
    headers=(("Content-Type", "application/json"),),
    body=b"",
)


def completion(
    prompt: str = "list the arriving post",
    max_tokens: int = 8,
    *,
    stream: bool = True,
    chat: bool = False,
    **changes: Any,
) -> HandOver:
    """Return the hand-over of a completion request."""
    document: dict[str, Any] = {
        "model": "small",
        "max_tokens": max_tokens,
        "stream": stream,
    }
    if chat:
        document["messages"] = [{"role": "user", "content": prompt}]
        changes["path"] = "/v1/chat/completions"
    else:
        document["prompt"] = prompt
    body = msgspec.json.encode(document)
    return DEFAULT_HAND_OVER._replace(body=body, **changes)


@contextmanager
def running_engine(config: EngineConfig = FAST_ENGINE) -> Iterator[EngineServer]:
    """Run an engine stand-in for the length of a block."""
    server = EngineServer.from_config(config).start()
    try:
        yield server
    finally:
        server.stop()


def client_of(address: str, silence_seconds: float = 10.0) -> EngineClient:
    """Return a client that gives up after `silence_seconds` without a byte."""
    url = f"http://{address}"
    return EngineClient.from_config(
        EngineClientConfig(url, silence_seconds=silence_seconds)
    )


def text_of(data: bytes) -> str:
    """Return the output text of a streamed chunk or of a non-streamed answer."""
    payload = data.removeprefix(b"data: ").strip()
    if payload == b"[DONE]":
        return ""
    choice = msgspec.json.decode(payload)["choices"][0]
    part = choice.get("delta") or choice.get("message") or {"content": choice["text"]}
    return part["content"]


@contextmanager
def scripted_peer(script: Callable[[socket.socket], None]) -> Iterator[str]:
    """Run `script` on each connection, after the first bytes of its request."""
    listener = socket.create_server(("127.0.0.1", 0))

    def play(connection: socket.socket) -> None:
        with connection:
            connection.recv(65_536)
            script(connection)

    def accept() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            Thread(target=play, args=(connection,), daemon=True).start()

    Thread(target=accept, daemon=True).start()
    try:
        host, port = listener.getsockname()
        yield f"{host}:{port}"
    finally:
        listener.close()
