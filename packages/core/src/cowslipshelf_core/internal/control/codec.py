"""Encode and decode commands and outcomes for the log and the network."""

from typing import TypeVar

import msgspec

from cowslipshelf_core.internal.control.commands import ControlCommand
from cowslipshelf_core.internal.control.errors import ControlCodecError
from cowslipshelf_core.internal.control.outcomes import ControlOutcome

Decoded = TypeVar("Decoded")

ENCODER = msgspec.msgpack.Encoder()
COMMAND_DECODER = msgspec.msgpack.Decoder(ControlCommand)
OUTCOME_DECODER = msgspec.msgpack.Decoder(ControlOutcome)


def encode_command(command: ControlCommand) -> bytes:
    """Encode a command as MessagePack."""
    return ENCODER.encode(command)


def decode_command(data: bytes) -> ControlCommand:
    """Decode a command, or raise `ControlCodecError` if the bytes are invalid."""
    return decode(COMMAND_DECODER, data, "decode command")


def encode_outcome(outcome: ControlOutcome) -> bytes:
    """Encode an outcome as MessagePack."""
    return ENCODER.encode(outcome)


def decode_outcome(data: bytes) -> ControlOutcome:
    """Decode an outcome, or raise `ControlCodecError` if the bytes are invalid."""
    return decode(OUTCOME_DECODER, data, "decode outcome")


def decode(
    decoder: msgspec.msgpack.Decoder[Decoded], data: bytes, step: str
) -> Decoded:
    """Decode bytes, and name the failed step in the error."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ControlCodecError(step, str(error)) from error
