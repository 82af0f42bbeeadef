"""Simulate a model engine that runs attempts in ticks."""

from collections import OrderedDict
from collections.abc import Iterable
from threading import Lock
from time import monotonic, sleep

from cowslipshelf_standins.internal.attempts import Attempt, AttemptState
from cowslipshelf_standins.internal.batching import Batch, Progress, is_done
from cowslipshelf_standins.internal.configuration import EngineConfig
from cowslipshelf_standins.internal.engine_documents import (
    HeldAttempt,
    Inventory,
    StartOptions,
)
from cowslipshelf_standins.internal.engine_loop import EngineLoop
from cowslipshelf_standins.internal.faults import FaultInjector
from cowslipshelf_standins.internal.http_serving import BadRequestError
from cowslipshelf_standins.internal.kv_parts import KvExport, KvPart, KvParts
from cowslipshelf_standins.internal.load import EngineLoad, LaggedLoad
from cowslipshelf_standins.internal.orders import OrderBody, OrderExecutor
from cowslipshelf_standins.internal.prefix_cache import CacheEvents, PrefixCache
from cowslipshelf_standins.internal.prompts import TOKENS_PER_BLOCK, Prompt

MAX_ENDED_IDS = 20_000
MAX_LATENESS_SECONDS = 0.25
FROZEN_POLL_SECONDS = 0.02


class Engine:
    """Simulate one model engine; `lock` guards all of its state."""

    def __init__(
        self, config: EngineConfig, injector: FaultInjector, loop: EngineLoop
    ) -> None:
        self.config = config
        self.injector = injector
        self.loop = loop
        self.lock = Lock()
        self.attempts: dict[str, Attempt] = {}
        self.ended_ids: OrderedDict[str, None] = OrderedDict()
        self.arrivals = 0
        self.stopped = False
        self.orders = OrderExecutor(config.models, config.checks_fencing)
        self.kv_parts = KvParts()
        empty = EngineLoad(memory_tokens=config.memory_tokens)
        self.load = LaggedLoad(config.load_lag_seconds, empty)
        self.cache = PrefixCache(
            config.cache_tokens,
            config.cache_event_delay_seconds,
            config.cache_event_loss,
            config.seed,
        )
        self.batch = Batch(config, self.cache)
        self.scheduled = False
        self.due = 0.0
        self.pending_progress: Progress = {}

    def advance(self, now: float) -> float | None:
        """Publish the completed tick's tokens; start the next tick if there is work."""
        if self.injector.faults.freeze:
            return now + FROZEN_POLL_SECONDS
        completed = self.pending_progress
        with self.lock:
            self.deliver(completed)
            seconds, self.pending_progress = self.batch.run_tick(self.scale())
            self.scheduled = bool(self.pending_progress) or self.batch.has_work()
            has_more = self.scheduled and not self.stopped
        push_to_readers(completed)
        self.due = max(self.due, now - MAX_LATENESS_SECONDS) + seconds
        return self.due if has_more else None

    def schedule(self) -> None:
        """Add this engine to the loop unless it is there already."""
        if not self.scheduled:
            self.scheduled = True
            self.due = monotonic()
            self.loop.schedule(self, self.due)

    def scale(self) -> float:
        """Return the real seconds per second of the engine."""
        return self.config.time_scale * self.injector.faults.slow_factor

    def stop(self) -> None:
        """Stop running, and cancel every attempt."""
        self.stopped = True
        for attempt_id in list(self.attempts):
            self.cancel(attempt_id)

    def deliver(self, progress: Progress) -> None:
        """Publish a tick's tokens and finish the attempts that are done."""
        now = monotonic()
        for attempt, generated in progress.items():
            if attempt.ended:
                continue
            if attempt.state is AttemptState.PREFILLING:
                self.cache_prompt(attempt, now)
            if attempt.is_prefill_only or is_done(attempt, generated):
                self.finish(attempt, generated, now)
            else:
                attempt.publish(AttemptState.DECODING, generated)
        self.record_load()

    def cache_prompt(self, attempt: Attempt, now: float) -> None:
        """Cache a prefilled prompt's blocks, unless its start is on another engine."""
        if attempt.range_start or attempt.imported_tokens:
            return
        blocks = attempt.range_end // TOKENS_PER_BLOCK
        hashes = attempt.prompt.block_hashes[:blocks]
        self.cache.store(hashes, attempt.attempt_id, now)

    def finish(self, attempt: Attempt, generated: int, now: float) -> None:
        """Finish an attempt; one that only prefills keeps its memory until deleted."""
        attempt.ended_at = now
        if not attempt.is_prefill_only:
            self.batch.free(attempt)
        attempt.publish(AttemptState.FINISHED, generated)

    def submit(self, prompt: Prompt, options: StartOptions) -> Attempt:
        """Queue an attempt, or raise `BadRequestError`."""
        with self.lock:
            self.remove_expired()
            self.check_start(prompt, options)
            attempt = self.new_attempt(prompt, options)
            if attempt.needed_tokens > self.config.memory_tokens:
                raise BadRequestError(400, "context_length_exceeded", "never fits")
            if self.batch.queue_is_full_for(attempt):
                raise BadRequestError(503, "overloaded", "the queue is full")
            self.attempts[attempt.attempt_id] = attempt
            self.batch.waiting.append(attempt)
            self.record_load()
            self.schedule()
            return attempt

    def check_start(self, prompt: Prompt, options: StartOptions) -> None:
        """Refuse a repeated attempt, an unknown model and an impossible resume."""
        attempt_id = options.attempt_id
        if attempt_id in self.attempts or attempt_id in self.ended_ids:
            raise BadRequestError(409, "duplicate_attempt", f"{attempt_id} is known")
        if self.config.models and prompt.model not in self.orders.models:
            raise BadRequestError(404, "model_not_found", f"no model {prompt.model}")
        if not 0 <= options.resume_from < prompt.max_output_tokens:
            raise BadRequestError(400, "bad_request", "nothing is left to resume")

    def new_attempt(self, prompt: Prompt, options: StartOptions) -> Attempt:
        """Create an attempt."""
        start = options.range_start
        end = prompt.tokens if options.range_end is None else options.range_end
        if not 0 <= start < end <= prompt.tokens:
            raise BadRequestError(400, "bad_request", "the token range is empty")
        imported = self.kv_parts.imported_tokens(
            options.kv_handles, prompt.seed, start, end
        )
        self.arrivals += 1
        return Attempt(
            attempt_id=options.attempt_id,
            completion_id=options.completion_id,
            prompt=prompt,
            priority=options.priority,
            resume_from=options.resume_from,
            range_start=start,
            range_end=end,
            imported_tokens=imported,
            arrival=self.arrivals,
            generated=options.resume_from,
        )

    def cancel(self, attempt_id: str) -> bool:
        """Cancel or delete an attempt and free its memory; return if it was known."""
        with self.lock:
            attempt = self.attempts.get(attempt_id)
            if attempt is None:
                return False
            self.remove(attempt)
            if not attempt.ended:
                attempt.publish(AttemptState.CANCELLED, attempt.generated)
            self.record_load()
        push_to_readers((attempt,))
        return True

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt, but keep its id to refuse a delayed duplicate."""
        del self.attempts[attempt.attempt_id]
        self.batch.remove(attempt)
        self.ended_ids[attempt.attempt_id] = None
        if len(self.ended_ids) > MAX_ENDED_IDS:
            self.ended_ids.popitem(last=False)

    def remove_expired(self) -> None:
        """Remove ended attempts after the retention time."""
        oldest = monotonic() - self.config.retention_seconds
        for attempt in list(self.attempts.values()):
            if attempt.ended and attempt.ended_at < oldest:
                self.remove(attempt)

    def inventory(self) -> Inventory:
        """Return every attempt with the memory it holds."""
        with self.lock:
            self.remove_expired()
            held = [
                HeldAttempt(a.attempt_id, a.reserved_tokens, a.state.value)
                for a in self.attempts.values()
            ]
        return Inventory(tuple(held))

    def record_load(self) -> None:
        """Record the current load for later reads."""
        batch = self.batch
        started = sum(a.prefill_end - a.position for a in batch.prefilling)
        waiting = sum(a.prefill_end for a in batch.waiting)
        load = EngineLoad(
            running=len(batch.prefilling) + len(batch.decoding),
            decoding=len(batch.decoding),
            queued=len(batch.waiting),
            prefill_tokens=started + waiting,
            reserved_tokens=batch.reserved_tokens,
            memory_tokens=self.config.memory_tokens,
        )
        self.load.record(load, monotonic())

    def read_load(self) -> EngineLoad:
        """Return the load as it was `load_lag_seconds` ago."""
        with self.lock:
            return self.load.read(monotonic())

    def cache_events(self, after: int) -> CacheEvents:
        """Return the visible cache events after a sequence number."""
        with self.lock:
            return self.cache.events_after(after, monotonic())

    def export_kv(self, wanted: KvExport, handle: str) -> KvPart:
        """Return a reference to KV cache that a prefilled attempt holds."""
        with self.lock:
            attempt = self.attempts.get(wanted.attempt_id)
            if attempt is None or not attempt.reserved_tokens:
                raise BadRequestError(404, "unknown_attempt", "it holds no KV cache")
            start, end = wanted.from_token, wanted.to_token
            if not attempt.range_start <= start < end <= attempt.range_end:
                raise BadRequestError(400, "bad_request", "the range is not held here")
            if attempt.position < end:
                raise BadRequestError(409, "not_prefilled", "the range is not ready")
            return KvPart(handle, attempt.prompt.seed, start, end)

    def run_order(self, order: OrderBody) -> bool:
        """Run an order; refuse an old fencing number if `checks_fencing` is set."""
        with self.lock:
            if not self.orders.accept(order):
                return False
        if order.kind.startswith("load"):
            sleep(self.config.load_order_seconds * self.scale())
        with self.lock:
            self.orders.run(order)
        return True


def push_to_readers(attempts: Iterable[Attempt]) -> None:
    """Push new events to the readers, none of which may block."""
    for attempt in attempts:
        for reader in tuple(attempt.readers):
            reader.push()
