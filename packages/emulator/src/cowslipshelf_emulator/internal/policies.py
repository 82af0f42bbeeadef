"""Choose the engines of a prompt: as the product does, or as simple routers do."""

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
    """Be what one gateway knows and decides; a gateway tells the others its work."""

    engines: tuple[UpstreamId, ...]
    model: EngineModel
    random: Random
    board: EngineTracker = field(default_factory=EngineTracker)

    @abstractmethod
    def place(self, asked: PromptToPlace, now: float) -> EnginesChosen | NoEngine:
        """Choose engines for a prompt."""

    def begin(self, work: EngineWork, owner: str, now: float) -> None:
        """Note work, of this gateway or another."""
        self.board.begin(work, InstanceId(owner), now)

    def first_token(self, attempt_id: AttemptId, now: float) -> None:
        """Note a first token."""
        self.board.first_token(attempt_id, now)

    def end(self, attempt_id: AttemptId, now: float) -> None:
        """Note the end of work."""
        self.board.end(attempt_id, now)


class LeastHarm(Policy):
    """Decide as the product's gateways do."""

    def place(self, asked: PromptToPlace, now: float) -> EnginesChosen | NoEngine:
        """Weigh the prompt's lateness against the harm to all others."""
        candidates = [EngineCandidate(engine) for engine in self.engines]
        return place_prompt(asked, candidates, self.model, self.board, now, self.random)


class SingleEngine(Policy):
    """Read each prompt on one engine, chosen without weighing anything."""

    @abstractmethod
    def pick(self) -> UpstreamId:
        """Choose the engine."""

    def place(self, asked: PromptToPlace, now: float) -> EnginesChosen | NoEngine:
        """Choose one engine; what it can't hold is refused."""
        del now
        tokens = asked.size.prompt_tokens + asked.size.max_output_tokens
        if tokens > self.model.memory_tokens:
            return NoEngine("too large for one engine", 1.0)
        part = EnginePart(self.pick(), 0.0, 1, True, tokens)
        work = EngineWork(asked.attempt_id, (part,), 1.0, 1.0, 1.0)
        return EnginesChosen(work, 0.0, 0.0)


class RoundRobin(SingleEngine):
    """Take the engines in turn, each gateway for itself."""

    turn = -1

    def pick(self) -> UpstreamId:
        """Choose the next engine."""
        if self.turn < 0:
            self.turn = self.random.randrange(len(self.engines))
        self.turn += 1
        return self.engines[self.turn % len(self.engines)]


class LeastOutstanding(SingleEngine):
    """Take the engine with the fewest requests of all gateways."""

    def pick(self) -> UpstreamId:
        """Choose the least loaded engine; ties are drawn."""
        running = Counter(
            part.upstream_id
            for placed in self.board.placed.values()
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
