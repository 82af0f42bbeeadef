"""Be an engine that reads prompts and writes answers in passes.

A pass with writers makes a step for each token of an event and may read a chunk of
prompt in each step; a pass without writers reads one chunk. So a long read holds up all
who write on the engine until the pass is over, and nothing shortens it. A prompt that
is read to its end has its first event at the end of that pass; where nobody else
writes, that is at once.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.gateway import EngineModel, decode_pass_seconds


@dataclass(slots=True)
class Reading:
    """Be a prompt, or an even part of one, that an engine has to read."""

    request: str
    whole_tokens: int
    output_tokens: int
    parts: int = 1
    read_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Return the length of the part."""
        return -(-self.whole_tokens // self.parts)

    def seconds_for(self, tokens: int, model: EngineModel) -> float:
        """Return the time to read on, with the pairs that these tokens make.

        The parts of a prompt have even shares of its pairs; a prompt read by one
        engine alone makes more of them towards its end.
        """
        if self.parts > 1:
            pairs = self.whole_tokens**2 / 2 / self.parts * tokens / self.tokens
        else:
            pairs = ((self.read_tokens + tokens) ** 2 - self.read_tokens**2) / 2
        linear = tokens * model.prefill_seconds_per_token
        return linear + pairs * model.prefill_seconds_per_pair


@dataclass(slots=True)
class Writing:
    """Be an answer that is written."""

    request: str
    context_tokens: int
    left_tokens: int
    begun: bool = False
    """Whether it has had an event."""


class Admission(NamedTuple):
    """Be a request that waits for a slot."""

    priority: int
    order: int
    reading: Reading


class PassResult(NamedTuple):
    """Say what came of a pass, by request."""

    read: tuple[str, ...]
    events: tuple[str, ...]
    finished: tuple[str, ...]


@dataclass(slots=True)
class EmulatedEngine:
    """Hold what one engine has to do; whoever owns it keeps the time."""

    name: str
    model: EngineModel
    slowness: float = 1.0
    waiting: list[Admission] = field(default_factory=list)
    own: list[Reading] = field(default_factory=list)
    helping: list[Reading] = field(default_factory=list)
    writing: list[Writing] = field(default_factory=list)
    in_slots: set[str] = field(default_factory=set)
    in_pass: bool = False
    completed: list[str] = field(default_factory=list)
    """Requests whose part the present pass reads to its end."""
    writers_in_pass: list[Writing] = field(default_factory=list)
    admitted: int = 0
    busy_seconds: float = 0.0

    def admit(self, reading: Reading, priority: int) -> None:
        """Take a request, which waits while all slots are taken."""
        self.admitted += 1
        self.waiting.append(Admission(priority, self.admitted, reading))

    def help(self, reading: Reading) -> bool:
        """Take a part for another engine, unless it helps as many as it has slots."""
        if len(self.helping) >= self.model.slots:
            return False
        self.helping.append(reading)
        return True

    def write(self, request: str, context_tokens: int, output_tokens: int) -> None:
        """Begin to write the answer to a prompt whose parts have all been read."""
        if request in self.in_slots:
            self.writing.append(Writing(request, context_tokens, output_tokens))

    def drop(self, request: str) -> None:
        """Forget a request; a pass under way goes on to its end."""
        self.in_slots.discard(request)
        self.waiting = [one for one in self.waiting if one.reading.request != request]
        self.own = [one for one in self.own if one.request != request]
        self.helping = [one for one in self.helping if one.request != request]
        self.writing = [one for one in self.writing if one.request != request]

    def begin_pass(self) -> float | None:
        """Begin a pass and return how long it takes; nothing where there is no work."""
        self.fill_slots()
        if not (self.helping or self.own or self.writing):
            return None
        writes = any(each.begun for each in self.writing)
        steps = self.model.steps_per_pass if writes else 1
        reading = self.read(steps * self.model.chunk_tokens)
        self.writers_in_pass = list(self.writing)
        self.in_pass = True
        seconds = (reading + steps * self.step_seconds()) * self.slowness
        self.busy_seconds += seconds
        return seconds

    def step_seconds(self) -> float:
        """Return the time of a step that reads nothing."""
        context = sum(each.context_tokens for each in self.writing)
        whole = decode_pass_seconds(self.model, len(self.writing), context)
        return whole / self.model.steps_per_pass

    def fill_slots(self) -> None:
        """Admit those that wait, the most urgent first."""
        self.waiting.sort()
        while self.waiting and len(self.in_slots) < self.model.slots:
            reading = self.waiting.pop(0).reading
            self.in_slots.add(reading.request)
            self.own.append(reading)

    def read(self, most_tokens: int) -> float:
        """Read what a pass can; return the time that it takes."""
        seconds = 0.0
        for reading in [*reversed(self.helping), *self.own]:
            tokens = min(most_tokens, reading.tokens - reading.read_tokens)
            seconds += reading.seconds_for(tokens, self.model)
            reading.read_tokens += tokens
            most_tokens -= tokens
            if reading.read_tokens == reading.tokens:
                self.complete(reading)
            if most_tokens == 0:
                break
        return seconds

    def complete(self, reading: Reading) -> None:
        """Note a part that is read; a prompt read here alone is written from here."""
        self.completed.append(reading.request)
        if reading.parts == 1:
            self.write(reading.request, reading.tokens, reading.output_tokens)

    def end_pass(self) -> PassResult:
        """End the pass: each who wrote has an event more."""
        self.in_pass = False
        read = tuple(self.completed)
        self.completed = []
        self.own = [one for one in self.own if one.read_tokens < one.tokens]
        self.helping = [one for one in self.helping if one.read_tokens < one.tokens]
        wrote = [each for each in self.writers_in_pass if each in self.writing]
        finished = []
        for each in wrote:
            each.begun = True
            each.left_tokens -= self.model.steps_per_pass
            each.context_tokens += self.model.steps_per_pass
            if each.left_tokens <= 0:
                finished.append(each.request)
        for request in finished:
            self.drop(request)
        return PassResult(read, tuple(each.request for each in wrote), tuple(finished))
