"""Test which bytes mailboxes accept from the network."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from common.type_strategies import ANY_MESSAGE, MESSAGE_TYPES, values_of
from cowslipshelf_core.messages import Withdraw
from cowslipshelf_fleet.internal.envelope import (
    PROTOCOL_VERSION,
    Envelope,
    EnvelopeCodec,
    Rejected,
    RejectionReason,
)
from cowslipshelf_fleet.mailboxes import Mailbox, MailboxConfig

MAX_BYTES = 100_000
FEW = settings(derandomize=True, deadline=None, max_examples=25)


def codec(key: bytes = b"cluster key") -> EnvelopeCodec:
    return EnvelopeCodec.from_config(key, ANY_MESSAGE, MAX_BYTES)


def envelopes(message: st.SearchStrategy) -> st.SearchStrategy[Envelope]:
    names = st.text(max_size=10)
    return st.builds(Envelope, names, names, names, st.integers(0, 2**60), message)


def unstarted_mailbox(received: list) -> Mailbox:
    config = MailboxConfig(
        instance="a",
        epoch="e",
        listen_address="127.0.0.1:0",
        cluster_key=b"cluster key",
        heartbeat_seconds=1.0,
        silence_seconds=3.0,
        message_types=ANY_MESSAGE,
        max_message_bytes=MAX_BYTES,
    )
    return Mailbox.from_config(config, received.append, lambda: 1)


def rejections(mailbox: Mailbox) -> dict[str, int]:
    counters = mailbox.counters._asdict()
    return {name: n for name, n in counters.items() if name.startswith("rejected")}


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_every_message_arrives_as_it_was_sent(kind):
    @FEW
    @given(envelopes(values_of(kind)))
    def check(envelope):
        assert codec().decode(codec().encode(envelope)) == envelope

    check()


@FEW
@given(envelopes(st.builds(Withdraw, st.text(max_size=8), st.text(max_size=8))))
def test_a_flipped_bit_anywhere_is_rejected(envelope):
    sealed = codec().encode(envelope)
    for position in range(len(sealed)):
        for bit in range(8):
            damaged = bytearray(sealed)
            damaged[position] ^= 1 << bit
            assert isinstance(codec().decode(bytes(damaged)), Rejected)


@FEW
@given(envelopes(values_of(Withdraw)), st.integers(0, 400))
def test_a_message_cut_short_is_rejected(envelope, length):
    sealed = codec().encode(envelope)
    assert isinstance(codec().decode(sealed[:length][: len(sealed) - 1]), Rejected)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(st.binary(max_size=200), max_size=8))
def test_arbitrary_bytes_are_counted_and_reach_nobody(pieces):
    received = []
    mailbox = unstarted_mailbox(received)
    for piece in pieces:
        mailbox.handle_data(piece)
    assert sum(rejections(mailbox).values()) == len(pieces)
    assert not received


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=200))
@example(b"\x91" * 90_000)
@example(b"\x95\xa1a\xa1b\xa1c\x00\x93\xa8Withdraw\xa1\xff\xa1e")
def test_arbitrary_bytes_under_a_right_tag_never_raise(content):
    """A faulty member, or one of another version, can send any bytes under the key."""
    received = []
    mailbox = unstarted_mailbox(received)
    version = PROTOCOL_VERSION.to_bytes(1)
    mailbox.handle_data(version + mailbox.codec.tagger.tag(version, content) + content)
    assert rejections(mailbox)["rejected_undecodable"] == 1 - len(received)


def test_each_reason_for_rejection_is_counted_apart():
    mailbox = unstarted_mailbox([])
    message = Envelope("b", "127.0.0.1:1", "e", 1, Withdraw("u", "e"))
    sealed = mailbox.codec.encode(message)
    mailbox.handle_data(codec(b"other key").encode(message))
    mailbox.handle_data(bytes([PROTOCOL_VERSION + 1]) + sealed[1:])
    mailbox.handle_data(bytes(MAX_BYTES + 1))
    counted = rejections(mailbox)
    for reason in (
        RejectionReason.WRONG_TAG,
        RejectionReason.WRONG_VERSION,
        RejectionReason.OVERSIZED,
    ):
        assert counted[f"rejected_{reason}"] == 1


def test_a_failing_receiver_does_not_stop_the_mailbox():
    """A failure of the receiver could make the process lose all later messages.

    The receiver runs on the only receiving thread. If an exception ended that thread,
    the process would send and look alive, but receive nothing.
    """
    received = []

    def receive(message):
        received.append(message)
        raise RuntimeError("a fault")

    mailbox = unstarted_mailbox([])
    mailbox.receive = receive
    envelope = Envelope("b", "127.0.0.1:1", "e", 1, Withdraw("u", "e"))
    for _ in range(2):
        mailbox.handle_data(mailbox.codec.encode(envelope))
    assert len(received) == 2
    assert mailbox.counters.receiver_failures == 2


@FEW
@given(st.floats(0.05, 60.0), st.floats(0.1, 600.0))
def test_heartbeats_fit_into_the_silence_deadline(heartbeat, silence):
    """Settings allow only two intervals, too few for an acknowledgement to arrive."""
    mailbox = unstarted_mailbox([])
    mailbox.config = mailbox.config._replace(
        heartbeat_seconds=heartbeat, silence_seconds=silence
    )
    assert mailbox.heartbeat_seconds <= heartbeat
    assert 3 * mailbox.heartbeat_seconds <= silence * 1.001
