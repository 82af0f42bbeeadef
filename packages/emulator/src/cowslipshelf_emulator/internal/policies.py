"""Place prompts on engines, as the gateways do or as simple routers do."""

from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from cowslipshelf_core.gateway import (
    EngineCandidate,
    EngineModel,
    EnginePart,
    EnginesChosen,
    EngineTracker,
    EngineWork,
    NoEngine,
    PromptToPlace,
    place_prompt,
)
from cowslipshelf_core.identifiers import AttemptId, InstanceId, UpstreamId


@dataclass
class Policy(ABC):
    """Hold what one gateway knows of all gateways' work, and place its prompts."""

    engines: tuple[UpstreamId, ...]
    model: EngineModel
    random: Random
    tracker: EngineTracker = field(default_factory=EngineTracker)

    @abstractmethod
    def place(self, prompt: PromptToPlace, now: float) -> EnginesChosen | NoEngine:
        """Choose engines for a prompt."""

    def begin(self, work: EngineWork, owner: str, now: float) -> None:
        """Record the start of work, of this gateway or another."""
        self.tracker.begin(work, InstanceId(owner), now)

    def first_token(self, attempt_id: AttemptId, now: float) -> None:
        """Record a first token."""
        self.tracker.first_token(attempt_id, now)

    def end(self, attempt_id: AttemptId, now: float) -> None:
        """Record the end of work."""
        self.tracker.end(attempt_id, now)


class LeastHarm(Policy):
    """Place prompts as the gateways do."""

    def place(self, prompt: PromptToPlace, now: float) -> EnginesChosen | NoEngine:
        """Weigh the lateness of the prompt against the harm to other requests."""
        candidates = [EngineCandidate(engine) for engine in self.engines]
        return place_prompt(
            prompt, candidates, self.model, self.tracker, now, self.random
        )


class SingleEngine(Policy):
    """Place each prompt on one engine, without estimating costs."""

    @abstractmethod
    def pick(self) -> UpstreamId:
        """Choose the engine."""

    def place(self, prompt: PromptToPlace, now: float) -> EnginesChosen | NoEngine:
        """Choose one engine; refuse a prompt that exceeds its memory."""
        del now
        tokens = prompt.size.prompt_tokens + prompt.size.max_output_tokens
        if tokens > self.model.memory_tokens:
            return NoEngine("too large for one engine", 1.0)
        part = EnginePart(self.pick(), 0.0, 1, True, tokens)
        work = EngineWork(prompt.attempt_id, (part,), 1.0, 1.0, 1.0)
        return EnginesChosen(work, 0.0, 0.0)


class RoundRobin(SingleEngine):
    """Take the engines in turn; each gateway keeps its own turn."""

    turn = -1

    def pick(self) -> UpstreamId:
        """Choose the next engine."""
        if self.turn < 0:
            self.turn = self.random.randrange(len(self.engines))
        self.turn += 1
        return self.engines[self.turn % len(self.engines)]


class LeastOutstanding(SingleEngine):
    """Take the engine with the fewest running requests of all gateways."""

    def pick(self) -> UpstreamId:
        """Choose the least loaded engine; break ties at random."""
        running = Counter(
            part.upstream_id
            for placed in self.tracker.placed.values()
            for part in placed.work.parts
        )
        return min(
            self.engines, key=lambda engine: (running[engine], self.random.random())
        )


POLICIES: dict[str, type[Policy]] = {
    "least-harm": LeastHarm,
    "least-outstanding": LeastOutstanding,
    "round-robin": RoundRobin,
}
