"""Check which pauses of streams show that a link loses packets."""

from random import Random

import pytest

from cowslipshelf_core.gateway import LinkLoss, StreamPauses, link_surcharge

PASS_SECONDS = 0.06
RETRANSMISSION_SECONDS = 0.2


def never(_since: float, _now: float) -> bool:
    return False


def always(_since: float, _now: float) -> bool:
    return True


class Streams:
    """Record streams of one gateway in the data centre `near`."""

    def __init__(self, seed: int = 0) -> None:
        self.loss = LinkLoss()
        self.random = Random(seed)

    def lossy(self, now: float) -> frozenset[str]:
        return self.loss.update("near", now)

    def stream(self, data_centre, pauses, has_prefilled=never, forward=0.0):
        """Record a stream that ends at 4 s."""
        pauses = list(pauses)
        at, stream = 4.0 - sum(pauses), StreamPauses(data_centre)
        self.loss.record_event(stream, at, at, has_prefilled)
        for pause in pauses:
            at += pause
            self.loss.record_event(stream, at, at + forward, has_prefilled)

    def pauses(self, count: int, loss_rate: float) -> list[float]:
        usual = [PASS_SECONDS * self.random.uniform(0.9, 1.1) for _ in range(count)]
        late = [self.random.random() < loss_rate for _ in range(count)]
        return [
            pause + RETRANSMISSION_SECONDS * is_late
            for pause, is_late in zip(usual, late, strict=True)
        ]

    def steady(self, data_centre: str, loss_rate: float, streams: int = 12) -> None:
        for _ in range(streams):
            self.stream(data_centre, self.pauses(30, loss_rate))


def test_a_link_that_loses_packets_is_told_from_one_that_does_not():
    """Guards against short answers that pause 0.26 s beside engines on sound links."""
    found = 0
    for seed in range(20):
        streams = Streams(seed)
        streams.steady("near", 0.0)
        streams.steady("far", 0.05)
        streams.steady("third", 0.0)
        assert streams.lossy(4.0) <= {"far"}
        found += streams.lossy(4.0) == {"far"}
    assert found >= 18


def test_a_link_counts_as_sound_again_four_seconds_after_its_losses():
    """Guards against engines that are avoided long after their link has recovered."""
    streams = Streams()
    streams.steady("near", 0.0)
    streams.steady("far", 0.06)
    assert streams.lossy(4.0) == {"far"}
    assert streams.lossy(8.5) == frozenset()


@pytest.mark.parametrize("slowness", [2.0, 4.0, 5.0, 8.0])
def test_an_engine_that_becomes_slow_is_no_lossy_link(slowness):
    """Guards against a whole data centre avoided because of one slow engine."""
    streams = Streams()
    streams.steady("near", 0.0)
    for _ in range(20):
        slow = [PASS_SECONDS * slowness * factor for factor in (1.0, 0.95, 1.05) * 4]
        streams.stream("far", [PASS_SECONDS] * 8 + slow + [PASS_SECONDS] * 8)
    assert streams.lossy(4.0) == frozenset()


def test_a_pass_that_prefills_is_no_lossy_link():
    """Guards against links avoided because a prompt of 45,000 tokens was prefilled."""
    pauses = ([PASS_SECONDS] * 10 + [PASS_SECONDS + 0.46]) * 2 + [PASS_SECONDS]
    streams = Streams()
    streams.steady("near", 0.0)
    for _ in range(10):
        streams.stream("far", pauses, has_prefilled=always)
    assert streams.lossy(4.0) == frozenset()
    for _ in range(10):
        streams.stream("far", pauses)
    assert streams.lossy(4.0) == {"far"}


def test_a_caller_that_reads_slowly_is_no_lossy_link():
    """Guards against links avoided because callers lose packets.

    Events that arrive while earlier ones are being written wait in the gateway.
    """
    pauses = ([PASS_SECONDS] * 5 + [PASS_SECONDS + 0.25]) * 4 + [PASS_SECONDS]
    streams = Streams()
    streams.steady("near", 0.0)
    for _ in range(10):
        streams.stream("far", pauses, forward=0.055)
    assert streams.lossy(4.0) == frozenset()


def test_a_gateway_that_stalls_takes_no_link_for_lossy():
    """Guards against far engines avoided because the gateway itself is late."""
    streams = Streams()
    streams.steady("near", 0.04)
    streams.steady("far", 0.05)
    assert streams.lossy(4.0) == frozenset()


@pytest.mark.parametrize("near_streams", [0, 1])
def test_a_gateway_without_streams_nearby_that_stalls_takes_no_link_for_lossy(
    near_streams,
):
    """Guards against far engines avoided while the own data centre is evacuated."""
    streams = Streams()
    streams.steady("near", 0.0, near_streams)
    streams.steady("far", 0.05)
    assert streams.lossy(4.0) == frozenset()
    streams.steady("third", 0.05)
    assert streams.lossy(4.0) == frozenset()


def test_a_lossy_link_is_found_beside_a_sound_one_without_streams_nearby():
    """Guards against pauses on a lossy link while the own data centre is evacuated."""
    streams = Streams()
    streams.steady("far", 0.06)
    streams.steady("third", 0.0)
    assert streams.lossy(4.0) == {"far"}


def test_few_pauses_show_nothing():
    """Guards against a link condemned by the few events of one answer."""
    streams = Streams()
    streams.steady("near", 0.0)
    streams.stream("far", ([PASS_SECONDS] * 7 + [PASS_SECONDS + 0.2]) * 5)
    assert streams.lossy(4.0) == frozenset()


def test_only_streams_with_short_allowed_pauses_avoid_a_lossy_link():
    """Guards against long prompts crowded on few engines for pauses they tolerate."""
    assert link_surcharge(0.25, lossy=True) == 0.5
    assert link_surcharge(0.25, lossy=False) == 0.0
    assert link_surcharge(0.6, lossy=True) == 0.0
    assert link_surcharge(None, lossy=True) == 0.0
