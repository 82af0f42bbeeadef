"""Pass the KV cache of a prompt's parts between engines, by reference."""

from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_upstreams import (
    EngineClient,
    KvPart,
    PromptPart,
    UpstreamLostError,
    UpstreamRefusedError,
    UpstreamStream,
)

IMPORT_STEP = "import"


def start_at_engine(
    engine: EngineClient, hand_over: HandOver, parts: tuple[KvReference, ...]
) -> UpstreamStream:
    """Import the KV cache that other engines hold, then start an attempt."""
    if parts:
        import_parts(engine, parts)
    handles = tuple(part.handle for part in parts)
    wanted = PromptPart(hand_over.from_token, hand_over.to_token, handles)
    return engine.start(hand_over, wanted)


def import_parts(engine: EngineClient, parts: tuple[KvReference, ...]) -> None:
    """Import parts at an engine; raise an error that says that nothing was sent.

    An import runs nothing. Whatever its outcome, the attempt itself was not started.
    """
    try:
        engine.import_kv(tuple(KvPart(*part) for part in parts))
    except (UpstreamLostError, UpstreamRefusedError) as error:
        peer = engine.connections.peer
        detail = str(error)
        raise UpstreamLostError(IMPORT_STEP, peer, detail, False) from error


def export_part(engine: EngineClient, hand_over: HandOver) -> KvReference:
    """Return a reference to the KV cache of the part that an attempt prefilled."""
    part = engine.export_kv(
        hand_over.attempt_id, hand_over.from_token, hand_over.to_token
    )
    return KvReference(part.handle, part.prompt_seed, part.from_token, part.to_token)
