"""Cache prompt prefixes by block, and publish changes late and with gaps."""

from collections import OrderedDict, deque
from random import Random

import msgspec

from cowslipshelf_standins.internal.prompts import TOKENS_PER_BLOCK

MAX_EVENTS_KEPT = 2_000


class CacheEvent(msgspec.Struct, frozen=True):
    """Report that blocks were stored or removed."""

    sequence: int
    kind: str
    """`stored` or `removed`."""
    block_hashes: tuple[int, ...]
    attempt_id: str = ""
    """The attempt whose prompt was stored."""


class CacheEvents(msgspec.Struct, frozen=True):
    """Answer a request for cache events."""

    newest_sequence: int
    events: tuple[CacheEvent, ...]


class PrefixCache:
    """Hold block hashes in an LRU cache bounded in tokens."""

    def __init__(
        self, max_tokens: int, delay_seconds: float, loss: float, seed: int
    ) -> None:
        self.max_blocks = max_tokens // TOKENS_PER_BLOCK
        self.delay_seconds = delay_seconds
        self.loss = loss
        self.random = Random(seed)
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.sequence = 0
        self.events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS_KEPT)

    def cached_tokens(self, block_hashes: tuple[int, ...]) -> int:
        """Return the length of the cached prefix in tokens, and mark it as used."""
        found = 0
        for block_hash in block_hashes:
            if block_hash not in self.blocks:
                break
            found += 1
        # A block is useless without the ones before it, so these are kept longer.
        for block_hash in reversed(block_hashes[:found]):
            self.blocks.move_to_end(block_hash)
        return found * TOKENS_PER_BLOCK

    def store(self, block_hashes: tuple[int, ...], attempt_id: str, now: float) -> None:
        """Cache the blocks of a prefilled prompt."""
        kept = block_hashes[: self.max_blocks]
        fresh = tuple(h for h in kept if h not in self.blocks)
        for block_hash in reversed(kept):
            self.blocks[block_hash] = None
            self.blocks.move_to_end(block_hash)
        if fresh:
            self.publish("stored", fresh, attempt_id, now)
        removed = []
        while len(self.blocks) > self.max_blocks:
            removed.append(self.blocks.popitem(last=False)[0])
        if removed:
            self.publish("removed", tuple(removed), "", now)

    def publish(
        self, kind: str, hashes: tuple[int, ...], attempt_id: str, now: float
    ) -> None:
        """Publish an event with the next number, or lose it and leave a gap."""
        self.sequence += 1
        if self.random.random() < self.loss:
            return
        event = CacheEvent(self.sequence, kind, hashes, attempt_id)
        self.events.append((now + self.delay_seconds, event))

    def events_after(self, sequence: int, now: float) -> CacheEvents:
        """Return the events after a sequence number that are older than the delay."""
        shown = [event for due, event in self.events if due <= now]
        newest = shown[-1].sequence if shown else 0
        later = tuple(event for event in shown if event.sequence > sequence)
        return CacheEvents(newest, later)
