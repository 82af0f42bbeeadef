"""Record how many requests an upstream gets while it names a limit."""

import threading
import time
from dataclasses import dataclass, field

SETTLE_SECONDS = 3.0
"""Time after a limit is first named in which it need not be kept."""
WINDOW_SECONDS = 4.0


@dataclass
class UpstreamLimit:
    """Hold the limit of one upstream, and the arrivals while it was named.

    Not judged is what follows faults after which no gateway knows the limit, and what
    comes over a disturbed link, which delivers late what was sent in time.
    """

    requests_per_second: float | None = None
    named_at: float | None = None
    """Time of the first answer that named the limit."""
    judged_from: float = 0.0
    """Time from which arrivals are judged, after a disturbance of the link."""
    arrivals: list[float] = field(default_factory=list)
    most: float = 0.0
    """Most arrivals in any window that was judged, as a part of what was allowed."""
    lock: threading.Lock = field(default_factory=threading.Lock)

    def headers(self) -> dict[str, str]:
        """Record a request, and return the headers of its answer."""
        with self.lock:
            now = time.monotonic()
            if self.requests_per_second is None:
                return {}
            if self.named_at is None:
                self.named_at = now
            self.arrivals.append(now)
            return {"Server_Limit": str(self.requests_per_second)}

    def change(self, requests_per_second: float | None) -> None:
        """Judge what came under the limit, and name another one from now on."""
        with self.lock:
            self.judge()
            self.requests_per_second = requests_per_second
            self.named_at = None
            self.arrivals = []

    def forget(self) -> None:
        """Judge what came until now; the limit has to be learned again."""
        self.change(self.requests_per_second)

    def disturb_link(self, seconds: float) -> None:
        """Judge what came until now, and go on after some time."""
        with self.lock:
            self.judge()
            self.judged_from = time.monotonic() + seconds
            self.arrivals = []

    def judge(self) -> None:
        """Find the fullest window once the limit had to be kept."""
        if self.named_at is None:
            return
        since = max(self.named_at + SETTLE_SECONDS, self.judged_from)
        counted = [at for at in self.arrivals if at >= since]
        allowed = 1.5 * self.requests_per_second * WINDOW_SECONDS + 5
        for first in counted:
            within = sum(first <= at <= first + WINDOW_SECONDS for at in counted)
            self.most = max(self.most, within / allowed)
