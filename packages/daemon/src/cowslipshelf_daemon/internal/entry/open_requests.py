"""Count the requests that run, for a graceful shutdown."""

import threading


class OpenRequests:
    """Count the requests that run, and close the door for a shutdown."""

    def __init__(self) -> None:
        self.open = 0
        self.closed = False
        self.changed = threading.Condition()

    def enter(self) -> bool:
        """Count a request in, unless the door is closed."""
        with self.changed:
            if self.closed:
                return False
            self.open += 1
            return True

    def leave(self) -> None:
        """Count a request out."""
        with self.changed:
            self.open -= 1
            self.changed.notify_all()

    def close_and_wait(self, seconds: float) -> int:
        """Let nobody in any more and wait; return how many still run."""
        with self.changed:
            self.closed = True
            self.changed.wait_for(lambda: self.open == 0, seconds)
            return self.open
