"""Emulate an engine that prefills prompts and decodes answers in passes.

A pass in which answers are decoded takes one step for each token of an event and may
prefill one chunk in each step; any other pass prefills one chunk. A long prefill
therefore delays every answer that is decoded on the engine until the pass ends, and
nothing shortens the pass. A prompt whose prefill completes has its first event at the
end of that pass; if no other answer is decoded, this is right after its last chunk.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.gateway import EngineModel, decode_pass_seconds


@dataclass(slots=True)
class PrefillTask:
    """Hold a prompt, or one of its equal parts, that an engine prefills."""

    request: str
    prompt_tokens: int
    output_tokens: int
    parts: int = 1
    prefilled_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Return the length of the part, rounded up."""
        return -(-self.prompt_tokens // self.parts)

    def seconds_for(self, tokens: int, model: EngineModel) -> float:
        """Return the time to prefill further tokens, including attention pairs.

        The parts of a prompt have equal shares of its pairs; a prompt that one engine
        prefills alone has more pairs for each token towards its end.
        """
        if self.parts > 1:
            pairs = self.prompt_tokens**2 / 2 / self.parts * tokens / self.tokens
        else:
            pairs = (
                (self.prefilled_tokens + tokens) ** 2 - self.prefilled_tokens**2
            ) / 2
        linear = tokens * model.prefill_seconds_per_token
        return linear + pairs * model.prefill_seconds_per_pair


@dataclass(slots=True)
class DecodeTask:
    """Hold an answer that is being decoded."""

    request: str
    context_tokens: int
    remaining_tokens: int
    has_started: bool = False
    """Whether its first event has been sent."""


class QueuedRequest(NamedTuple):
    """Hold a request that waits for a slot; orders by priority, then arrival."""

    priority: int
    order: int
    task: PrefillTask


class PassResult(NamedTuple):
    """Name the requests that a pass prefilled, sent events of, and finished."""

    prefilled: tuple[str, ...]
    events: tuple[str, ...]
    finished: tuple[str, ...]


@dataclass(slots=True)
class EmulatedEngine:
    """Hold the work of one engine; the caller keeps the time."""

    name: str
    model: EngineModel
    slowdown_factor: float = 1.0
    queue: list[QueuedRequest] = field(default_factory=list)
    prefills: list[PrefillTask] = field(default_factory=list)
    helper_prefills: list[PrefillTask] = field(default_factory=list)
    decodes: list[DecodeTask] = field(default_factory=list)
    slot_holders: set[str] = field(default_factory=set)
    in_pass: bool = False
    completed_prefills: list[str] = field(default_factory=list)
    """Requests whose prefill completes in the current pass."""
    decodes_in_pass: list[DecodeTask] = field(default_factory=list)
    enqueued_count: int = 0
    busy_seconds: float = 0.0

    def enqueue(self, task: PrefillTask, priority: int) -> None:
        """Queue a request until a slot is free."""
        self.enqueued_count += 1
        self.queue.append(QueuedRequest(priority, self.enqueued_count, task))

    def add_helper_prefill(self, task: PrefillTask) -> bool:
        """Accept a part for another engine, up to one for each slot."""
        if len(self.helper_prefills) >= self.model.slots:
            return False
        self.helper_prefills.append(task)
        return True

    def start_decode(
        self, request: str, context_tokens: int, output_tokens: int
    ) -> None:
        """Start to decode the answer to a prompt whose parts are all prefilled."""
        if request in self.slot_holders:
            self.decodes.append(DecodeTask(request, context_tokens, output_tokens))

    def drop(self, request: str) -> None:
        """Remove a request; a pass under way keeps its length."""
        self.slot_holders.discard(request)
        self.queue = [one for one in self.queue if one.task.request != request]
        self.prefills = [one for one in self.prefills if one.request != request]
        self.helper_prefills = [
            one for one in self.helper_prefills if one.request != request
        ]
        self.decodes = [one for one in self.decodes if one.request != request]

    def begin_pass(self) -> float | None:
        """Begin a pass and return its duration, or None without work."""
        self.fill_slots()
        if not (self.helper_prefills or self.prefills or self.decodes):
            return None
        decoding = any(each.has_started for each in self.decodes)
        steps = self.model.steps_per_pass if decoding else 1
        prefill_seconds = self.prefill(steps * self.model.chunk_tokens)
        self.decodes_in_pass = list(self.decodes)
        self.in_pass = True
        seconds = (prefill_seconds + steps * self.step_seconds()) * self.slowdown_factor
        self.busy_seconds += seconds
        return seconds

    def step_seconds(self) -> float:
        """Return the time of a step without prefill."""
        context = sum(each.context_tokens for each in self.decodes)
        pass_seconds = decode_pass_seconds(self.model, len(self.decodes), context)
        return pass_seconds / self.model.steps_per_pass

    def fill_slots(self) -> None:
        """Move queued requests into free slots, the most urgent first."""
        self.queue.sort()
        while self.queue and len(self.slot_holders) < self.model.slots:
            task = self.queue.pop(0).task
            self.slot_holders.add(task.request)
            self.prefills.append(task)

    def prefill(self, max_tokens: int) -> float:
        """Prefill up to a number of tokens and return the time that it takes.

        Parts for other engines come first, the newest before the older ones.
        """
        seconds = 0.0
        for task in [*reversed(self.helper_prefills), *self.prefills]:
            tokens = min(max_tokens, task.tokens - task.prefilled_tokens)
            seconds += task.seconds_for(tokens, self.model)
            task.prefilled_tokens += tokens
            max_tokens -= tokens
            if task.prefilled_tokens == task.tokens:
                self.complete_prefill(task)
            if max_tokens == 0:
                break
        return seconds

    def complete_prefill(self, task: PrefillTask) -> None:
        """Record a prefilled part; a prompt in one part starts to decode here."""
        self.completed_prefills.append(task.request)
        if task.parts == 1:
            self.start_decode(task.request, task.tokens, task.output_tokens)

    def end_pass(self) -> PassResult:
        """End the pass: each answer decoded in it has one more event."""
        self.in_pass = False
        prefilled = tuple(self.completed_prefills)
        self.completed_prefills = []
        self.prefills = [
            one for one in self.prefills if one.prefilled_tokens < one.tokens
        ]
        self.helper_prefills = [
            one for one in self.helper_prefills if one.prefilled_tokens < one.tokens
        ]
        advanced = [each for each in self.decodes_in_pass if each in self.decodes]
        finished = []
        for each in advanced:
            each.has_started = True
            each.remaining_tokens -= self.model.steps_per_pass
            each.context_tokens += self.model.steps_per_pass
            if each.remaining_tokens <= 0:
                finished.append(each.request)
        for request in finished:
            self.drop(request)
        return PassResult(
            prefilled, tuple(each.request for each in advanced), tuple(finished)
        )
