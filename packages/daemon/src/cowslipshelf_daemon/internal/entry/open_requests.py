"""Count the running requests, for a graceful shutdown."""

import threading


class OpenRequests:
    """Count the running requests, and admit no more once closed; thread-safe."""

    def __init__(self) -> None:
        self.open = 0
        self.closed = False
        self.changed = threading.Condition()

    def enter(self) -> bool:
        """Count a request that starts; return False if closed."""
        with self.changed:
            if self.closed:
                return False
            self.open += 1
            return True

    def leave(self) -> None:
        """Count a request that has ended."""
        with self.changed:
            self.open -= 1
            self.changed.notify_all()

    def close_and_wait(self, seconds: float) -> int:
        """Admit no more requests and wait; return how many still run."""
        with self.changed:
            self.closed = True
            self.changed.wait_for(lambda: self.open == 0, seconds)
            return self.open
