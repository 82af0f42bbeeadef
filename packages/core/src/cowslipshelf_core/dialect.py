"""Export the types between a gateway and the adapter for its machines' protocol."""

from cowslipshelf_core.internal.gateway.dialect import (
    AnswerFacts,
    CallerFacts,
    ControlCall,
    Dialect,
    ForwardFacts,
    Headers,
    MemoryTicket,
    OutgoingRequest,
    ParsedConfiguration,
    PrefillHelper,
    PutConfiguration,
    ReadConfiguration,
    RecordHeartbeat,
    RemoveUpstream,
)

__all__ = [
    "AnswerFacts",
    "CallerFacts",
    "ControlCall",
    "Dialect",
    "ForwardFacts",
    "Headers",
    "PrefillHelper",
    "MemoryTicket",
    "OutgoingRequest",
    "PutConfiguration",
    "ReadConfiguration",
    "ParsedConfiguration",
    "RecordHeartbeat",
    "RemoveUpstream",
]
