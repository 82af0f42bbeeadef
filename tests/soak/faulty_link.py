"""Proxy connections from gateways to an upstream, and inject network faults."""

import random
import socket
import threading
import time
from enum import Enum, auto

READ_BYTES = 65_536
ACCEPT_SECONDS = 0.1
DELAY_SECONDS = 0.3
SILENCE_STEP_SECONDS = 0.05


class LinkMode(Enum):
    """Say how a link treats connections and bytes."""

    PASSES = auto()
    DELAYS = auto()
    RESETS = auto()
    """New connections are reset, and open ones at their next bytes."""
    SILENT = auto()
    """Bytes in both directions are held until the mode changes."""
    ONE_WAY = auto()
    """Bytes from the upstream are held until the mode changes."""


class FaultyLink:
    """Listen on a socket, and forward its connections to an address."""

    def __init__(self, target: str, seed: int) -> None:
        self.target = target
        self.random = random.Random(seed)
        self.mode = LinkMode.PASSES
        self.stopped = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections, and forward or reset each."""
        self.listener.settimeout(ACCEPT_SECONDS)
        while not self.stopped.is_set():
            try:
                client, _ = self.listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            if self.mode is LinkMode.RESETS:
                reset(client)
                continue
            threading.Thread(target=self.connect, args=(client,), daemon=True).start()

    def connect(self, client: socket.socket) -> None:
        """Connect to the target, and copy bytes both ways."""
        host, _, port = self.target.partition(":")
        try:
            upstream = socket.create_connection((host, int(port)), timeout=5)
        except OSError:
            reset(client)
            return
        upstream.settimeout(None)
        for source, sink, answers in (
            (client, upstream, False),
            (upstream, client, True),
        ):
            threading.Thread(
                target=self.pump, args=(source, sink, answers), daemon=True
            ).start()

    def pump(self, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        """Copy bytes one way until either side closes, as the mode says."""
        try:
            while data := source.recv(READ_BYTES):
                if self.mode is LinkMode.DELAYS:
                    time.sleep(self.random.uniform(0, DELAY_SECONDS))
                self.wait_while_held(answers)
                if self.mode is LinkMode.RESETS:
                    reset(source)
                    reset(sink)
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            reset(source)
            reset(sink)

    def wait_while_held(self, answers: bool) -> None:
        """Wait while the mode holds bytes of this direction."""
        while not self.stopped.is_set() and (
            self.mode is LinkMode.SILENT or (answers and self.mode is LinkMode.ONE_WAY)
        ):
            time.sleep(SILENCE_STEP_SECONDS)

    def stop(self) -> None:
        """Stop accepting connections and release held bytes."""
        self.stopped.set()
        self.listener.close()


def reset(connection: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    try:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
    except OSError:
        return
