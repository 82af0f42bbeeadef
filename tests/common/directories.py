"""Simulate upstreams that announce themselves to a directory."""

from collections.abc import Iterable

from common.sidecars import description
from cowslipshelf_core.directory import (
    AnnounceArrived,
    Directory,
    DirectoryConfig,
    LoadUpdated,
    TickElapsed,
    UpstreamAvailable,
    UpstreamUnavailable,
)
from cowslipshelf_core.messages import Announce
from cowslipshelf_core.upstream import LoadReport

LEASE_SECONDS = 3.0
STEP_SECONDS = 0.5


class Announcer:
    """Simulate a sidecar that announces its upstream while it is alive."""

    def __init__(self, name):
        self.name = name
        self.starts = 0
        self.leaving = False
        self.restart()

    def restart(self):
        self.starts += 1
        self.sequence = 0
        self.alive = True
        self.leaving = False

    @property
    def epoch(self):
        return f"{self.name}-start-{self.starts}"

    def announce(self):
        self.sequence += 1
        return Announce(
            description(self.name),
            self.epoch,
            LEASE_SECONDS,
            LoadReport(sequence=self.sequence),
            self.leaving,
        )


class DirectorySimulation:
    """Drive a directory, and track which upstreams it makes available."""

    def __init__(self, names: Iterable[str], config=DirectoryConfig()):  # noqa: B008
        self.now = 0.0
        self.directory = Directory.from_config(config)
        self.announcers = {name: Announcer(name) for name in names}
        self.available = {}
        self.effects = []
        self.announced = []

    def handle(self, event):
        effects = self.directory.handle(event, self.now)
        for effect in effects:
            self.effects.append((self.now, effect))
            match effect:
                case UpstreamAvailable(published, epoch):
                    self.available[published.upstream_id] = epoch
                case UpstreamUnavailable(name):
                    self.available.pop(name, None)
                case LoadUpdated(name, epoch):
                    assert self.available[name] == epoch
        return effects

    def receive(self, announce):
        return self.handle(AnnounceArrived(announce, "sidecar", "127.0.0.1:2"))

    def pass_time(self, seconds, received=True):
        """Advance the time; each live upstream announces itself at every step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for announcer in self.announcers.values():
                if received and announcer.alive:
                    announce = announcer.announce()
                    self.announced.append(announce)
                    self.receive(announce)
            self.handle(TickElapsed())
