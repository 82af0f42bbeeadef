"""Pass the KV cache of a prompt's parts from engine to engine, by reference."""

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
    """Start an attempt, after telling the engine what others hold of its prompt."""
    if parts:
        import_parts(engine, parts)
    handles = tuple(part.handle for part in parts)
    wanted = PromptPart(hand_over.from_token, hand_over.to_token, handles)
    return engine.start(hand_over, wanted)


def import_parts(engine: EngineClient, parts: tuple[KvReference, ...]) -> None:
    """Tell an engine of parts; raise as for a start of which no byte was sent.

    An import runs nothing: whatever became of it, the attempt itself never started.
    """
    try:
        engine.import_kv(tuple(KvPart(*part) for part in parts))
    except (UpstreamLostError, UpstreamRefusedError) as error:
        peer = engine.connections.peer
        detail = str(error)
        raise UpstreamLostError(IMPORT_STEP, peer, detail, False) from error


def export_part(engine: EngineClient, hand_over: HandOver) -> KvReference:
    """Return a reference to the part that an attempt has prefilled."""
    part = engine.export_kv(
        hand_over.attempt_id, hand_over.from_token, hand_over.to_token
    )
    return KvReference(part.handle, part.prompt_seed, part.from_token, part.to_token)
