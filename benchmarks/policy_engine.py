"""Be a model engine at the interface: continuous batching with chunked prefill."""

from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.upstream import LoadReport

PREFILL_SECONDS_PER_TOKEN = 25e-6
PREFILL_SECONDS_PER_TOKEN_SQUARED = 3e-11
STEP_SECONDS = 0.005
DECODE_SECONDS = 0.0003
CHUNK_TOKENS = 2_048
MEMORY_TOKENS = 480_000
SMOOTHING = 0.05


class Job(NamedTuple):
    """Be one attempt as the engine gets it."""

    attempt_id: AttemptId
    prompt_tokens: int
    output_tokens: int
    most_output_tokens: int
    priority_at: float


class StepResult(NamedTuple):
    """Be what one step, or a run of equal steps, brought about."""

    first_tokens: list[AttemptId]
    finished: list[AttemptId]


def prefill_seconds(start: int, end: int) -> float:
    """Return the time to prefill tokens from one position to another."""
    linear = PREFILL_SECONDS_PER_TOKEN * (end - start)
    return linear + PREFILL_SECONDS_PER_TOKEN_SQUARED * (end**2 - start**2)


def alone_seconds(prompt_tokens: int) -> float:
    """Return the time to first token on an idle engine."""
    chunks = -(-prompt_tokens // CHUNK_TOKENS)
    return prefill_seconds(0, prompt_tokens) + chunks * STEP_SECONDS


def engine_seconds(prompt_tokens: int, output_tokens: int) -> float:
    """Return the engine time that a request takes up in a full batch."""
    return alone_seconds(prompt_tokens) + output_tokens * DECODE_SECONDS


@dataclass
class FakeEngine:
    """Run steps of one chunk of prefill beside one token for each decoding job."""

    slowness: float = 1.0
    jobs: dict[AttemptId, Job] = field(default_factory=dict)
    prefilled: dict[AttemptId, int] = field(default_factory=dict)
    """Jobs before their first token, with the tokens prefilled."""
    remaining: dict[AttemptId, int] = field(default_factory=dict)
    """Decoding jobs, with the tokens still to come."""
    reserved: int = 0
    sequence: int = 0
    token_seconds: float = 0.0
    steps: int = 0
    step_seconds: float = 0.0
    started_at: float = 0.0
    plan: list[tuple[AttemptId, int]] = field(default_factory=list)

    def fits(self, job: Job) -> bool:
        """Return whether the job's memory can be reserved."""
        need = job.prompt_tokens + job.most_output_tokens
        return self.reserved + need <= MEMORY_TOKENS

    def add(self, job: Job) -> None:
        """Reserve memory for a job and let it wait for its prefill."""
        self.jobs[job.attempt_id] = job
        self.prefilled[job.attempt_id] = 0
        self.reserved += job.prompt_tokens + job.most_output_tokens

    def drop(self, attempt_id: AttemptId) -> bool:
        """Forget a job and free its memory."""
        job = self.jobs.pop(attempt_id, None)
        if job is None:
            return False
        self.reserved -= job.prompt_tokens + job.most_output_tokens
        self.prefilled.pop(attempt_id, None)
        self.remaining.pop(attempt_id, None)
        return True

    def begin(self, now: float) -> float | None:
        """Begin the next step and return when it ends; nothing where there is none."""
        if not self.jobs:
            return None
        self.started_at = now
        self.plan = self.next_chunks()
        work = sum(
            prefill_seconds(self.prefilled[a], self.prefilled[a] + tokens)
            for a, tokens in self.plan
        )
        seconds = STEP_SECONDS + work + DECODE_SECONDS * len(self.remaining)
        self.step_seconds = seconds * self.slowness
        self.steps = 1 if self.plan else min(self.remaining.values())
        return now + self.steps * self.step_seconds

    def next_chunks(self) -> list[tuple[AttemptId, int]]:
        """Fill one chunk in the order of priority."""
        budget = CHUNK_TOKENS
        plan = []
        for attempt_id in sorted(
            self.prefilled, key=lambda a: (self.jobs[a].priority_at, a)
        ):
            left = self.jobs[attempt_id].prompt_tokens - self.prefilled[attempt_id]
            tokens = min(budget, left)
            plan.append((attempt_id, tokens))
            budget -= tokens
            if budget == 0:
                break
        return plan

    def cut_short(self, now: float) -> float | None:
        """End a run of equal steps at the next step; return when, if that is sooner."""
        if self.steps <= 1 or self.step_seconds == 0.0:
            return None
        done = int((now - self.started_at) / self.step_seconds)
        if done + 1 >= self.steps:
            return None
        self.steps = done + 1
        return self.started_at + self.steps * self.step_seconds

    def end_step(self) -> StepResult:
        """Take the effects of the step that has ended."""
        if self.remaining:
            new = self.step_seconds
            self.token_seconds += SMOOTHING * (new - self.token_seconds)
        finished = []
        for attempt_id in list(self.remaining):
            self.remaining[attempt_id] -= self.steps
            if self.remaining[attempt_id] <= 0:
                self.drop(attempt_id)
                finished.append(attempt_id)
        first = []
        for attempt_id, tokens in self.plan:
            if attempt_id not in self.prefilled:
                continue
            self.prefilled[attempt_id] += tokens
            job = self.jobs[attempt_id]
            if self.prefilled[attempt_id] >= job.prompt_tokens:
                del self.prefilled[attempt_id]
                self.remaining[attempt_id] = job.output_tokens
                first.append(attempt_id)
        return StepResult(first, finished)

    def report(self) -> LoadReport:
        """Report the load as it is now, with slopes as the engine claims them."""
        self.sequence += 1
        waiting = sum(self.jobs[a].prompt_tokens - n for a, n in self.prefilled.items())
        return LoadReport(
            sequence=self.sequence,
            running=len(self.jobs),
            decoding=len(self.remaining),
            prefill_tokens=waiting,
            reserved_tokens=self.reserved,
            memory_tokens=MEMORY_TOKENS,
            prefill_seconds_per_token=PREFILL_SECONDS_PER_TOKEN,
            prefill_seconds_per_token_squared=PREFILL_SECONDS_PER_TOKEN_SQUARED,
            decode_seconds_per_token=self.token_seconds,
        )
