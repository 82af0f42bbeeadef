"""Encode and decode the envelopes that carry messages between mailboxes."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Generic, NamedTuple, TypeVar, Union

import msgspec

from cowslipshelf_core.identifiers import ConfigurationVersion, Epoch, InstanceId
from cowslipshelf_core.messages import Message
from cowslipshelf_fleet.internal.tags import TAG_BYTES, Tagger

PROTOCOL_VERSION = 1
PURPOSE = b"mailbox"
HEADER_BYTES = 1 + TAG_BYTES

Body = TypeVar("Body")


class MailboxHeartbeat(Message, frozen=True):
    """Show that a connection delivers, and ask the same of the peer's own one."""

    number: int
    """Grows with each heartbeat, and begins anywhere."""
    sent_bytes: int
    """Bytes of messages sent on the connection before this heartbeat."""
    in_use: bool
    """False where the connection only carries answers to the peer's heartbeats."""
    reply_requested: bool
    """Whether the peer is to answer at once; False in an answer."""
    acknowledged_number: int
    """Number of the last heartbeat heard from the peer, or zero."""
    acknowledged_bytes: int
    """Bytes sent before that heartbeat, as it said itself."""


class Envelope(msgspec.Struct, Generic[Body], frozen=True, array_like=True, gc=False):
    """Carry a message with what every message tells of its sender."""

    sender: InstanceId
    sender_address: str
    sender_epoch: Epoch
    configuration_version: ConfigurationVersion
    message: Body


class RejectionReason(StrEnum):
    """Name why received bytes were dropped."""

    OVERSIZED = "oversized"
    WRONG_VERSION = "wrong_version"
    WRONG_TAG = "wrong_tag"
    UNDECODABLE = "undecodable"


class Rejected(NamedTuple):
    """Tell why received bytes were dropped."""

    reason: RejectionReason


@dataclass(frozen=True, slots=True)
class EnvelopeCodec:
    """Turn envelopes into bytes and back, under one cluster key."""

    tagger: Tagger
    decoder: msgspec.msgpack.Decoder
    encoder: msgspec.msgpack.Encoder
    max_bytes: int

    @classmethod
    def from_config(
        cls, cluster_key: bytes, message_types: Any, max_bytes: int
    ) -> "EnvelopeCodec":
        """Make a codec for a union of message types."""
        union = Union[message_types, MailboxHeartbeat]  # noqa: UP007
        return cls(
            tagger=Tagger.from_cluster_key(cluster_key, PURPOSE),
            decoder=msgspec.msgpack.Decoder(Envelope[union]),
            encoder=msgspec.msgpack.Encoder(),
            max_bytes=max_bytes,
        )

    def encode(self, envelope: Envelope) -> bytes:
        """Return one version byte, the tag, and the envelope."""
        content = self.encoder.encode(envelope)
        version = PROTOCOL_VERSION.to_bytes(1)
        return b"".join((version, self.tagger.tag(version, content), content))

    def decode(self, data: bytes) -> Envelope | Rejected:
        """Return the envelope, or why there is none; never raise.

        The version stands before the tag, so that a later version may change all
        that follows it. Nothing is decoded before its tag was accepted, so that
        strangers reach neither the decoder nor the receiver.
        """
        if len(data) > self.max_bytes:
            return Rejected(RejectionReason.OVERSIZED)
        version, tag, content = data[:1], data[1:HEADER_BYTES], data[HEADER_BYTES:]
        if version != PROTOCOL_VERSION.to_bytes(1):
            return Rejected(RejectionReason.WRONG_VERSION)
        if not self.tagger.accepts(tag, version, content):
            return Rejected(RejectionReason.WRONG_TAG)
        try:
            return self.decoder.decode(content)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return Rejected(RejectionReason.UNDECODABLE)
