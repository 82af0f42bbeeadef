"""Simulate spread prompts on real sidecar states, with engines that only count."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from random import Random

from common.sidecars import MEMORY_TOKENS, configuration, description, hand_over
from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import NeverRan
from cowslipshelf_core.prompt_parts import KvReference, PartAssignment
from cowslipshelf_core.sidecar import (
    AnswerRevoke,
    CancelArrived,
    CancelAtUpstream,
    ConfigurationApplied,
    EndAttempt,
    FirstTokenArrived,
    HandOverArrived,
    HeldMemory,
    InventoryRead,
    OwnerSeen,
    PartsArrived,
    RefuseAttempt,
    ReleaseAtUpstream,
    ReportReserved,
    RevokeArrived,
    SidecarConfig,
    SidecarState,
    StartAttempt,
    TickElapsed,
    UpstreamFinished,
)
from cowslipshelf_core.spread import (
    BackOff,
    BackoffElapsed,
    BeginAnswered,
    BeginPart,
    CancelPart,
    HandOverPart,
    LastRevoked,
    PartFilled,
    PartLost,
    PartRefused,
    PartReserved,
    PartUnanswered,
    RevokeLast,
    SpreadBegun,
    SpreadConfig,
    SpreadMachine,
    SpreadRefused,
    SpreadStarted,
    SpreadUncertain,
    TimePassed,
)
from cowslipshelf_core.upstream import HandOver

DEADLINE = 600.0
STEP_SECONDS = 0.25


@dataclass
class Upstream:
    """Hold one sidecar and its engine."""

    name: str
    state: SidecarState
    held: dict[AttemptId, HandOver] = field(default_factory=dict)
    """Attempts that the engine holds memory for; kept when the sidecar restarts."""
    filled: set[AttemptId] = field(default_factory=set)
    """Attempts whose part was prefilled."""

    def held_tokens(self) -> int:
        """Return the engine's memory in use, in tokens."""
        return sum(map(tokens_of, self.held.values()))


def tokens_of(given: HandOver) -> int:
    """Return the memory of one attempt at its engine, in tokens."""
    if given.to_token is not None:
        return given.to_token - given.from_token
    return given.prompt_tokens - given.from_token + given.max_output_tokens


class SpreadWorld:
    """Hold the time, the upstreams and the frames that were not read yet."""

    def __init__(self, upstreams: int, seed: int = 0) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.starts = 0
        self.frames: dict[AttemptId, deque] = defaultdict(deque)
        self.started: set[AttemptId] = set()
        self.finished: set[AttemptId] = set()
        self.loses_cancels = False
        self.loses_answers = False
        """Whether calls of entries arrive but their answers are lost."""
        self.entry_cancel_was_lost = False
        self.upstreams = {
            f"runner-{number}": Upstream(f"runner-{number}", self.new_state(number))
            for number in range(upstreams)
        }
        self.prompts: list[Prompt] = []

    def new_state(self, number: int) -> SidecarState:
        """Create a new start of a sidecar, with its configuration."""
        self.starts += 1
        config = SidecarConfig(description(f"runner-{number}"), f"start-{self.starts}")
        state = SidecarState.from_config(config)
        state.handle(ConfigurationApplied(configuration()), self.now)
        return state

    def restart(self, number: int) -> None:
        """Restart a sidecar: its streams are cut, its engine keeps its memory."""
        upstream = self.upstreams[f"runner-{number}"]
        for attempt_id in upstream.state.table.alive:
            self.frames[attempt_id].append(PartLost(attempt_id, None, "cut"))
        upstream.state = self.new_state(number)

    def feed(self, upstream: Upstream, event) -> list:
        """Feed a sidecar an event and return its answers to the caller."""
        answers = []
        for effect in upstream.state.handle(event, self.now):
            match effect:
                case ReportReserved(attempt_id):
                    self.frames[attempt_id].append(PartReserved(attempt_id))
                case StartAttempt(given):
                    assert given.attempt_id not in self.started
                    self.started.add(given.attempt_id)
                    upstream.held[given.attempt_id] = given
                case EndAttempt(attempt_id, refusal):
                    self.frames[attempt_id].append(PartLost(attempt_id, refusal))
                case CancelAtUpstream(attempt_id) | ReleaseAtUpstream(attempt_id):
                    if not self.loses_cancels:
                        self.end_at_engine(upstream, attempt_id, whole=False)
                case RefuseAttempt() | AnswerRevoke():
                    answers.append(effect)
        return answers

    def end_at_engine(
        self, upstream: Upstream, attempt_id: AttemptId, whole: bool
    ) -> None:
        """End an attempt at its engine and free its memory."""
        upstream.held.pop(attempt_id, None)
        self.feed(upstream, UpstreamFinished(attempt_id, whole))

    def run_engine(self, upstream: Upstream) -> None:
        """Let an engine prefill its parts and finish its answers."""
        for attempt_id, given in tuple(upstream.held.items()):
            if given.to_token is None:
                self.end_at_engine(upstream, attempt_id, whole=True)
                self.finished.add(attempt_id)
            elif attempt_id not in upstream.filled:
                upstream.filled.add(attempt_id)
                self.feed(upstream, FirstTokenArrived(attempt_id))
                part = KvReference(attempt_id, 1, given.from_token, given.to_token)
                self.frames[attempt_id].append(PartFilled(attempt_id, part))

    def drop_first_attempt(self, upstream: Upstream) -> None:
        """Let the first attempt of an engine fail."""
        for attempt_id in tuple(upstream.held)[:1]:
            self.end_at_engine(upstream, attempt_id, whole=False)
            self.frames[attempt_id].append(PartLost(attempt_id, None, "died"))

    def advance_time(self, seconds: float = STEP_SECONDS) -> None:
        """Advance the time; entries send heartbeats and engines their inventories."""
        self.now += seconds
        for upstream in self.upstreams.values():
            for prompt in self.prompts:
                if prompt.alive:
                    self.feed(upstream, OwnerSeen(prompt.owner))
            held = tuple(
                HeldMemory(attempt_id, tokens_of(given))
                for attempt_id, given in upstream.held.items()
            )
            self.feed(upstream, InventoryRead(held))
            self.feed(upstream, TickElapsed())

    def add_prompt(self, numbers: list[int], part_tokens: int) -> "Prompt":
        """Place a prompt over the numbered upstreams, by a separate entry."""
        prompt = Prompt(
            self, sorted(numbers), part_tokens, f"entry-{len(self.prompts)}"
        )
        self.prompts.append(prompt)
        return prompt

    def is_empty(self) -> bool:
        """Return whether no memory is reserved, awaited or in use anywhere."""
        return all(
            not upstream.held
            and not upstream.state.table.alive
            and upstream.state.table.memory.reserved_tokens == 0
            for upstream in self.upstreams.values()
        )

    def run_for(self, seconds: float) -> None:
        """Run all living prompts and the engines in turn."""
        end = self.now + seconds
        while self.now < end:
            for prompt in self.prompts:
                prompt.step()
                prompt.step()
            for upstream in self.upstreams.values():
                self.run_engine(upstream)
            self.advance_time()


class Prompt:
    """Drive the state machine of one prompt as the daemon does."""

    def __init__(
        self, world: SpreadWorld, numbers: list[int], part_tokens: int, owner: str
    ) -> None:
        self.world = world
        self.numbers = numbers
        self.part_tokens = part_tokens
        self.owner = owner
        self.alive = True
        self.deadline = world.now + DEADLINE
        self.placements = 0
        self.backoff_until = 0.0
        self.place()

    def place(self) -> None:
        """Choose new parts, as a retry of the whole request does."""
        self.placements += 1
        self.last_id = AttemptId(f"{self.owner}-last-{self.placements}")
        states = [self.world.upstreams[f"runner-{n}"].state for n in self.numbers]
        places = [
            PartAssignment(
                state.config.description.upstream_id,
                state.config.epoch,
                state.config.description.upstream_id,
                state.sequence,
                index * self.part_tokens,
                (index + 1) * self.part_tokens,
            )
            for index, state in enumerate(states)
        ]
        last = places.pop()
        given = hand_over(
            self.last_id,
            owner=self.owner,
            upstream_id=last.upstream_id,
            sidecar_epoch=last.epoch,
            load_sequence=last.load_sequence,
            prompt_tokens=last.to_token,
            max_output_tokens=50,
            from_token=last.from_token,
            deadline_seconds=self.deadline - self.world.now,
        )
        chosen = ChosenUpstream(
            self.last_id,
            last.upstream_id,
            last.epoch,
            last.attempts_address,
            0,
            last.load_sequence,
            tuple(places),
            last.from_token,
        )
        self.machine = SpreadMachine.from_config(
            chosen, given, SpreadConfig(), self.world.now
        )
        self.effects: deque = deque()
        self.reading = self.last_id
        self.result = None
        self.handle(SpreadStarted())

    def handle(self, event) -> None:
        """Feed the state machine an event and queue its effects."""
        effects = self.machine.handle(event, self.world.now, self.world.random)
        self.effects.extend(effects)

    @property
    def ended(self) -> bool:
        """Return whether the prompt was answered or given up."""
        if self.result is None or self.effects:
            return False
        if isinstance(self.result, SpreadBegun):
            return self.last_id in self.world.finished or bool(
                self.world.frames[self.last_id]
            )
        return True

    def step(self) -> None:
        """Perform one effect or handle one frame."""
        if not self.alive or self.world.now < self.backoff_until:
            return
        if self.effects:
            self.perform(self.effects.popleft())
        elif self.result is not None:
            if self.ended:
                self.effects.extend(self.machine.cancel_helpers())
        elif self.world.frames[self.reading]:
            self.handle(self.world.frames[self.reading].popleft())
        else:
            self.handle(TimePassed())

    def perform(self, effect) -> None:
        """Perform one effect."""
        world = self.world
        match effect:
            case HandOverPart(address, given):
                self.reading = given.attempt_id
                arrived = HandOverArrived(given)
                answers = world.feed(world.upstreams[address], arrived)
                if world.loses_answers:
                    self.handle(PartUnanswered(given.attempt_id, True, "silence"))
                    return
                for refused in answers:
                    self.handle(PartRefused(given.attempt_id, refused.refused))
            case BeginPart(address, attempt_id, parts):
                self.reading = attempt_id
                world.feed(world.upstreams[address], PartsArrived(attempt_id, parts))
                self.handle(BeginAnswered(attempt_id, not world.loses_answers))
            case CancelPart(address, attempt_id):
                if world.loses_cancels:
                    world.entry_cancel_was_lost = True
                    return
                world.feed(world.upstreams[address], CancelArrived(attempt_id))
            case RevokeLast(address, given):
                event = RevokeArrived(
                    given.attempt_id, given.sidecar_epoch, given.load_sequence
                )
                (answer,) = world.feed(world.upstreams[address], event)
                promised = isinstance(answer.answer, NeverRan)
                self.handle(LastRevoked(promised and not world.loses_answers))
            case BackOff(seconds):
                self.backoff_until = world.now + seconds
                self.handle(BackoffElapsed())
            case SpreadBegun() | SpreadRefused() | SpreadUncertain():
                self.result = effect


OVER_HALF_MEMORY_TOKENS = MEMORY_TOKENS * 6 // 10
"""A part of this size leaves no memory for a second one."""
