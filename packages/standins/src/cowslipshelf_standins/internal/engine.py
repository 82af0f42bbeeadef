"""Run attempts by continuous batching on one scheduler thread."""

from collections import OrderedDict
from threading import Condition, Thread
from time import monotonic, sleep

import msgspec

from cowslipshelf_standins.internal.attempts import Attempt, AttemptState
from cowslipshelf_standins.internal.batching import (
    SERVING_ORDER,
    decode_seconds,
    prefill_step,
)
from cowslipshelf_standins.internal.configuration import EngineConfig
from cowslipshelf_standins.internal.faults import FaultSwitch
from cowslipshelf_standins.internal.http_serving import BadRequestError
from cowslipshelf_standins.internal.kv_parts import KvExport, KvPart, KvParts
from cowslipshelf_standins.internal.load import EngineLoad, LaggedLoad
from cowslipshelf_standins.internal.orders import OrderBody, OrderBook
from cowslipshelf_standins.internal.prefix_cache import CacheEvents, PrefixCache
from cowslipshelf_standins.internal.prompts import Prompt

MOST_ENDED_IDS = 20_000
MOST_LATENESS_SECONDS = 0.25


class HeldAttempt(msgspec.Struct, frozen=True):
    """Say what memory one attempt holds."""

    attempt_id: str
    tokens: int
    state: str


class Inventory(msgspec.Struct, frozen=True):
    """List the attempts that an engine knows, ended ones included."""

    held: tuple[HeldAttempt, ...]


class StartOptions(msgspec.Struct, frozen=True):
    """Be what the headers of a start say."""

    attempt_id: str
    completion_id: str
    priority: int
    resume_from: int
    range_start: int
    range_end: int | None
    kv_handles: tuple[str, ...]


class Engine:
    """Be one model engine with its memory, its queue and its batch."""

    def __init__(self, config: EngineConfig, switch: FaultSwitch) -> None:
        self.config = config
        self.switch = switch
        self.changed = Condition()
        self.attempts: dict[str, Attempt] = {}
        self.ended_ids: OrderedDict[str, None] = OrderedDict()
        self.waiting: list[Attempt] = []
        self.prefilling: list[Attempt] = []
        self.decoding: list[Attempt] = []
        self.reserved_tokens = 0
        self.arrivals = 0
        self.stopped = False
        self.orders = OrderBook(config.models, config.checks_fencing)
        self.kv_parts = KvParts()
        empty = EngineLoad(memory_tokens=config.memory_tokens)
        self.load = LaggedLoad(config.load_lag_seconds, empty)
        self.cache = PrefixCache(
            config.cache_tokens,
            config.cache_event_delay_seconds,
            config.cache_event_loss,
            config.seed,
        )

    def run(self) -> None:
        """Run steps for as long as there is work, and sleep while there is none."""
        due = monotonic()
        while True:
            with self.changed:
                self.changed.wait_for(self.may_go_on)
                if self.stopped:
                    return
                seconds, progress = self.run_tick()
            self.switch.wait_while_frozen()
            due = max(due, monotonic() - MOST_LATENESS_SECONDS) + seconds
            sleep(max(0.0, due - monotonic()))
            with self.changed:
                self.deliver(progress)

    def start(self) -> Thread:
        """Run the scheduler on a thread of its own."""
        thread = Thread(target=self.run, daemon=True)
        thread.start()
        return thread

    def stop(self) -> None:
        """End the scheduler and every attempt."""
        with self.changed:
            self.stopped = True
            self.changed.notify_all()
        for attempt in list(self.attempts.values()):
            self.cancel(attempt.attempt_id)

    def may_go_on(self) -> bool:
        """Say whether the scheduler has something to do."""
        return bool(self.stopped or self.waiting or self.prefilling or self.decoding)

    def run_tick(self) -> tuple[float, dict[Attempt, int]]:
        """Run steps until they fill a tick; return its seconds and new tokens.

        One wake-up covers several short steps, so that a scaled-down engine costs no
        more processor time than its readers do. A finished prefill ends the tick, so
        that first tokens come on time.
        """
        scale = self.config.time_scale * self.switch.faults.slow_factor
        seconds = 0.0
        progress: dict[Attempt, int] = {}
        self.admit()
        while self.prefilling or self.decoding:
            prefilling = len(self.prefilling)
            seconds += self.run_step(progress) * scale
            first_tokens = len(self.prefilling) < prefilling
            if first_tokens or seconds >= self.config.tick_seconds:
                break
        return seconds, progress

    def run_step(self, progress: dict[Attempt, int]) -> float:
        """Run one step; return its seconds before scaling."""
        seconds = decode_seconds(self.config, len(self.decoding))
        seconds += prefill_step(self.config, self.prefilling)
        for attempt in self.decoding:
            progress[attempt] = progress.get(attempt, attempt.generated) + 1
        still_decoding = [a for a in self.decoding if not self.is_done(a, progress)]
        for attempt in self.prefilling:
            if attempt.position < attempt.prefill_end:
                continue
            if attempt.is_part:
                progress[attempt] = attempt.generated
                continue
            progress[attempt] = attempt.generated + 1
            if not self.is_done(attempt, progress):
                still_decoding.append(attempt)
        self.prefilling = [a for a in self.prefilling if a.position < a.prefill_end]
        self.decoding = still_decoding
        return seconds

    def is_done(self, attempt: Attempt, progress: dict[Attempt, int]) -> bool:
        """Say whether an attempt has generated all its output."""
        return progress[attempt] >= attempt.prompt.most_output_tokens

    def admit(self) -> None:
        """Move waiting attempts into the batch, in serving order, while they fit.

        The first that does not fit holds back all after it; else a stream of small
        ones would starve it.
        """
        self.waiting.sort(key=SERVING_ORDER)
        running = len(self.prefilling) + len(self.decoding)
        while self.waiting and running < self.config.most_running:
            attempt = self.waiting[0]
            if not self.fits(attempt):
                return
            self.waiting.pop(0)
            self.begin_prefill(attempt)
            running += 1

    def fits(self, attempt: Attempt) -> bool:
        """Say whether an attempt's memory is free."""
        free = self.config.memory_tokens - self.reserved_tokens
        return attempt.needed_tokens <= free

    def begin_prefill(self, attempt: Attempt) -> None:
        """Reserve memory and skip what is cached or held elsewhere."""
        attempt.reserved_tokens = attempt.needed_tokens
        self.reserved_tokens += attempt.reserved_tokens
        cached = self.cache.cached_tokens(attempt.prompt.block_hashes)
        # At least one token is always computed; its result begins the answer.
        most_skipped = attempt.range_end - 1
        attempt.cached_tokens = min(cached, most_skipped)
        known = attempt.range_start + attempt.elsewhere_tokens
        attempt.position = min(max(attempt.cached_tokens, known), most_skipped)
        attempt.state = AttemptState.PREFILLING
        self.prefilling.append(attempt)

    def deliver(self, progress: dict[Attempt, int]) -> None:
        """Make a tick's tokens readable and end the attempts that are done."""
        now = monotonic()
        for attempt, generated in progress.items():
            if attempt.ended:
                continue
            if attempt.state is AttemptState.PREFILLING:
                hashes = attempt.prompt.block_hashes
                self.cache.store(hashes, attempt.attempt_id, now)
            if attempt.is_part or self.is_done(attempt, progress):
                self.finish(attempt, generated, now)
            else:
                attempt.publish(AttemptState.DECODING, generated)
        self.record_load()

    def finish(self, attempt: Attempt, generated: int, now: float) -> None:
        """End an attempt whole; a part keeps its memory until it is deleted."""
        attempt.ended_at = now
        if not attempt.is_part:
            self.free(attempt)
        attempt.publish(AttemptState.FINISHED, generated)

    def free(self, attempt: Attempt) -> None:
        """Give back an attempt's memory, once."""
        self.reserved_tokens -= attempt.reserved_tokens
        attempt.reserved_tokens = 0

    def submit(self, prompt: Prompt, options: StartOptions) -> Attempt:
        """Take an attempt in, or raise `BadRequestError`."""
        with self.changed:
            self.forget_expired()
            self.check_start(prompt, options)
            attempt = self.new_attempt(prompt, options)
            if attempt.needed_tokens > self.config.memory_tokens:
                raise BadRequestError(400, "context_length_exceeded", "never fits")
            queued = len(self.waiting) >= self.config.queue_limit
            if queued and not self.fits(attempt):
                raise BadRequestError(503, "overloaded", "the queue is full")
            self.attempts[attempt.attempt_id] = attempt
            self.waiting.append(attempt)
            self.record_load()
            self.changed.notify_all()
            return attempt

    def check_start(self, prompt: Prompt, options: StartOptions) -> None:
        """Refuse a start that repeats an attempt or asks for what is not there."""
        attempt_id = options.attempt_id
        if attempt_id in self.attempts or attempt_id in self.ended_ids:
            raise BadRequestError(409, "duplicate_attempt", f"{attempt_id} is known")
        if self.config.models and prompt.model not in self.orders.models:
            raise BadRequestError(404, "model_not_found", f"no model {prompt.model}")
        if options.resume_from >= prompt.most_output_tokens:
            raise BadRequestError(400, "bad_request", "nothing is left to resume")
        end = prompt.tokens if options.range_end is None else options.range_end
        if not 0 <= options.range_start < end <= prompt.tokens:
            raise BadRequestError(400, "bad_request", "the token range is empty")

    def new_attempt(self, prompt: Prompt, options: StartOptions) -> Attempt:
        """Make the record of an attempt."""
        self.arrivals += 1
        start = options.range_start
        end = prompt.tokens if options.range_end is None else options.range_end
        elsewhere = self.kv_parts.tokens_elsewhere(
            options.kv_handles, prompt.seed, start, end
        )
        return Attempt(
            attempt_id=options.attempt_id,
            completion_id=options.completion_id,
            prompt=prompt,
            priority=options.priority,
            resume_from=options.resume_from,
            range_start=start,
            range_end=end,
            elsewhere_tokens=elsewhere,
            arrival=self.arrivals,
            generated=options.resume_from,
        )

    def cancel(self, attempt_id: str) -> bool:
        """Cancel or forget an attempt and free its memory; say if it was known."""
        with self.changed:
            attempt = self.attempts.pop(attempt_id, None)
            if attempt is None:
                return False
            self.remember_ended(attempt_id)
            for batch in (self.waiting, self.prefilling, self.decoding):
                if attempt in batch:
                    batch.remove(attempt)
            self.free(attempt)
            if not attempt.ended:
                attempt.publish(AttemptState.CANCELLED, attempt.generated)
            self.record_load()
            self.changed.notify_all()
            return True

    def remember_ended(self, attempt_id: str) -> None:
        """Keep an id for a while, so that a late copy of its start is refused."""
        self.ended_ids[attempt_id] = None
        if len(self.ended_ids) > MOST_ENDED_IDS:
            self.ended_ids.popitem(last=False)

    def forget_expired(self) -> None:
        """Drop answers that nobody has fetched or deleted in the retention time."""
        oldest = monotonic() - self.config.retention_seconds
        expired = [
            attempt
            for attempt in self.attempts.values()
            if attempt.ended and attempt.ended_at < oldest
        ]
        for attempt in expired:
            self.free(attempt)
            del self.attempts[attempt.attempt_id]
            self.remember_ended(attempt.attempt_id)

    def inventory(self) -> Inventory:
        """List every attempt with the memory it holds."""
        with self.changed:
            self.forget_expired()
            held = [
                HeldAttempt(a.attempt_id, a.reserved_tokens, a.state.value)
                for a in self.attempts.values()
            ]
        return Inventory(tuple(held))

    def record_load(self) -> None:
        """Note the load of this moment for those who ask later."""
        prefilling = sum(a.prefill_end - a.position for a in self.prefilling)
        waiting = sum(a.prefill_end for a in self.waiting)
        load = EngineLoad(
            running=len(self.prefilling) + len(self.decoding),
            decoding=len(self.decoding),
            queued=len(self.waiting),
            prefill_tokens=prefilling + waiting,
            reserved_tokens=self.reserved_tokens,
            memory_tokens=self.config.memory_tokens,
        )
        self.load.record(load, monotonic())

    def export(self, wanted: KvExport, handle: str) -> KvPart:
        """Return a reference to KV cache that a prefilled attempt holds."""
        with self.changed:
            attempt = self.attempts.get(wanted.attempt_id)
            if attempt is None or not attempt.reserved_tokens:
                raise BadRequestError(404, "unknown_attempt", "it holds no KV cache")
            start, end = wanted.from_token, wanted.to_token
            if not attempt.range_start <= start < end <= attempt.range_end:
                raise BadRequestError(400, "bad_request", "the range is not held here")
            if attempt.position < end:
                raise BadRequestError(409, "not_prefilled", "the range is not ready")
            return KvPart(handle, attempt.prompt.seed, start, end)

    def order(self, order: OrderBody) -> bool:
        """Carry an order out, or refuse an old number where numbers are checked."""
        with self.changed:
            if not self.orders.accepts(order):
                return False
        scale = self.config.time_scale * self.switch.faults.slow_factor
        if order.kind.startswith("load"):
            sleep(self.config.load_order_seconds * scale)
        with self.changed:
            self.orders.run(order)
        return True

    def read_load(self) -> EngineLoad:
        """Return the load as it was one lag ago."""
        with self.changed:
            return self.load.read(monotonic())

    def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number that may be shown."""
        with self.changed:
            return self.cache.events_after(after, monotonic())
