"""Offer the types between a gateway and the adapter of its machines' protocol."""

from cowslipshelf_core.internal.gateway.dialect import (
    AnswerFacts,
    CallerFacts,
    ControlCall,
    Dialect,
    ForwardFacts,
    Headers,
    Helper,
    MemoryTicket,
    OutgoingRequest,
    ParsedConfiguration,
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
    "Helper",
    "MemoryTicket",
    "OutgoingRequest",
    "PutConfiguration",
    "ReadConfiguration",
    "ParsedConfiguration",
    "RecordHeartbeat",
    "RemoveUpstream",
]
