"""Encode and decode the envelopes of messages between mailboxes."""

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
    """Probe the connection it is sent on, and acknowledge the peer's heartbeats."""

    number: int
    """Grows by one with each heartbeat, from a random start."""
    sent_bytes: int
    """Bytes of messages sent on this connection before this heartbeat."""
    in_use: bool
    """False if the connection only carries answers to the peer's heartbeats."""
    reply_requested: bool
    """Whether the peer must answer at once; False in an answer."""
    acknowledged_number: int
    """Number of the last heartbeat received from the peer, or zero."""
    acknowledged_bytes: int
    """`sent_bytes` of that heartbeat."""


class Envelope(msgspec.Struct, Generic[Body], frozen=True, array_like=True, gc=False):
    """Hold a message and the details of its sender that come with every message."""

    sender: InstanceId
    sender_address: str
    sender_epoch: Epoch
    configuration_version: ConfigurationVersion
    message: Body


class RejectionReason(StrEnum):
    """Define why received bytes were rejected."""

    OVERSIZED = "oversized"
    WRONG_VERSION = "wrong_version"
    WRONG_TAG = "wrong_tag"
    UNDECODABLE = "undecodable"


class Rejected(NamedTuple):
    """Report why received bytes were rejected."""

    reason: RejectionReason


@dataclass(frozen=True, slots=True)
class EnvelopeCodec:
    """Encode and decode envelopes, authenticated with the cluster key."""

    tagger: Tagger
    decoder: msgspec.msgpack.Decoder
    encoder: msgspec.msgpack.Encoder
    max_bytes: int

    @classmethod
    def from_config(
        cls, cluster_key: bytes, message_types: Any, max_bytes: int
    ) -> "EnvelopeCodec":
        """Create a codec for a union of message types."""
        union = Union[message_types, MailboxHeartbeat]  # noqa: UP007
        return cls(
            tagger=Tagger.from_cluster_key(cluster_key, PURPOSE),
            decoder=msgspec.msgpack.Decoder(Envelope[union]),
            encoder=msgspec.msgpack.Encoder(),
            max_bytes=max_bytes,
        )

    def encode(self, envelope: Envelope) -> bytes:
        """Return a version byte, the tag, and the encoded envelope."""
        content = self.encoder.encode(envelope)
        version = PROTOCOL_VERSION.to_bytes(1)
        return b"".join((version, self.tagger.tag(version, content), content))

    def decode(self, data: bytes) -> Envelope | Rejected:
        """Return the envelope, or why it was rejected; never raise.

        The version precedes the tag, so that a later version may change everything
        after it. Nothing is decoded before its tag is verified, so that senders
        without the cluster key reach neither the decoder nor the receiver.
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
