"""Stand between a gateway and an upstream, and misbehave as a network does."""

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
    """Name what a link does with the bytes on it."""

    PASSES = auto()
    DELAYS = auto()
    RESETS = auto()
    """Connections are reset as they are made, and in the middle."""
    SILENT = auto()
    """Bytes are held until this ends, in both directions."""
    ONE_WAY = auto()
    """Answers are held until this ends."""


class FaultyLink:
    """Own a listening socket, whose connections are passed on to an address."""

    def __init__(self, target: str, seed: int) -> None:
        self.target = target
        self.random = random.Random(seed)
        self.mode = LinkMode.PASSES
        self.stopped = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Pass on each connection, or reset it."""
        self.listener.settimeout(ACCEPT_SECONDS)
        while not self.stopped.is_set():
            try:
                near, _ = self.listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            if self.mode is LinkMode.RESETS:
                reset(near)
                continue
            threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near: socket.socket) -> None:
        """Open the other half and pump both ways."""
        host, _, port = self.target.partition(":")
        try:
            far = socket.create_connection((host, int(port)), timeout=5)
        except OSError:
            reset(near)
            return
        far.settimeout(None)
        for source, sink, answers in ((near, far, False), (far, near, True)):
            threading.Thread(
                target=self.pump, args=(source, sink, answers), daemon=True
            ).start()

    def pump(self, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        """Copy bytes until either side ends, as the mode says."""
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
        """Hold bytes as long as the link is silent for their direction."""
        while not self.stopped.is_set() and (
            self.mode is LinkMode.SILENT or (answers and self.mode is LinkMode.ONE_WAY)
        ):
            time.sleep(SILENCE_STEP_SECONDS)

    def stop(self) -> None:
        """Let nothing more through."""
        self.stopped.set()
        self.listener.close()


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    try:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
    except OSError:
        return
