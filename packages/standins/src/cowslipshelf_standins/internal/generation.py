"""Generate the deterministic text of answers."""

WORD_LIST = """
lease tare note gate beet ledger mail post clerk order due paid sugar load field month
office tax letter date street court review sample weight member signed total north river
grower
"""
WORDS = tuple(WORD_LIST.split())
MIX_MULTIPLIER = 0x9E3779B97F4A7C15
MIX_MASK = (1 << 64) - 1
MIX_SHIFT = 40


def token_text(seed: int, index: int) -> str:
    """Return the output token at a 0-based index."""
    mixed = (seed ^ ((index + 1) * MIX_MULTIPLIER)) & MIX_MASK
    mixed = (mixed * MIX_MULTIPLIER) & MIX_MASK
    return " " + WORDS[(mixed >> MIX_SHIFT) % len(WORDS)]


def generate(seed: int, first: int, last: int) -> str:
    """Return the output from token `first` up to but excluding token `last`."""
    return "".join([token_text(seed, index) for index in range(first, last)])
