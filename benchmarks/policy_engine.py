"""Simulate a model engine: continuous batching with chunked prefill."""

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
TOKEN_SECONDS_SMOOTHING = 0.05


class Job(NamedTuple):
    """Describe an attempt to the engine."""

    attempt_id: AttemptId
    prompt_tokens: int
    output_tokens: int
    max_output_tokens: int
    priority_at: float


class StepResult(NamedTuple):
    """Hold the results of a step, or of a batch of equal steps."""

    first_tokens: list[AttemptId]
    finished: list[AttemptId]


def prefill_seconds(start: int, end: int) -> float:
    """Return the time to prefill the tokens between two positions."""
    linear = PREFILL_SECONDS_PER_TOKEN * (end - start)
    return linear + PREFILL_SECONDS_PER_TOKEN_SQUARED * (end**2 - start**2)


def idle_first_token_seconds(prompt_tokens: int) -> float:
    """Return the time to first token on an idle engine."""
    chunks = -(-prompt_tokens // CHUNK_TOKENS)
    return prefill_seconds(0, prompt_tokens) + chunks * STEP_SECONDS


def engine_seconds(prompt_tokens: int, output_tokens: int) -> float:
    """Return the engine time that a request uses in a full batch."""
    return idle_first_token_seconds(prompt_tokens) + output_tokens * DECODE_SECONDS


@dataclass
class FakeEngine:
    """Run steps of one prefill chunk and one token for each decoding job."""

    slowness: float = 1.0
    jobs: dict[AttemptId, Job] = field(default_factory=dict)
    prefilled: dict[AttemptId, int] = field(default_factory=dict)
    """Tokens prefilled, by job that has no first token yet."""
    remaining: dict[AttemptId, int] = field(default_factory=dict)
    """Tokens still to decode, by decoding job."""
    reserved: int = 0
    sequence: int = 0
    token_seconds: float = 0.0
    steps: int = 0
    step_seconds: float = 0.0
    started_at: float = 0.0
    chunk_plan: list[tuple[AttemptId, int]] = field(default_factory=list)

    def fits(self, job: Job) -> bool:
        """Return whether memory for the job is free."""
        need = job.prompt_tokens + job.max_output_tokens
        return self.reserved + need <= MEMORY_TOKENS

    def add(self, job: Job) -> None:
        """Reserve memory for a job and queue it for prefill."""
        self.jobs[job.attempt_id] = job
        self.prefilled[job.attempt_id] = 0
        self.reserved += job.prompt_tokens + job.max_output_tokens

    def drop(self, attempt_id: AttemptId) -> bool:
        """Remove a job and free its memory; return whether it was there."""
        job = self.jobs.pop(attempt_id, None)
        if job is None:
            return False
        self.reserved -= job.prompt_tokens + job.max_output_tokens
        self.prefilled.pop(attempt_id, None)
        self.remaining.pop(attempt_id, None)
        return True

    def start_step(self, now: float) -> float | None:
        """Start the next step and return when it ends; None if there is no job.

        Without prefill work, equal decode steps up to the next end are run as one.
        """
        if not self.jobs:
            return None
        self.started_at = now
        self.chunk_plan = self.plan_chunk()
        work = sum(
            prefill_seconds(self.prefilled[a], self.prefilled[a] + tokens)
            for a, tokens in self.chunk_plan
        )
        seconds = STEP_SECONDS + work + DECODE_SECONDS * len(self.remaining)
        self.step_seconds = seconds * self.slowness
        self.steps = 1 if self.chunk_plan else min(self.remaining.values())
        return now + self.steps * self.step_seconds

    def plan_chunk(self) -> list[tuple[AttemptId, int]]:
        """Return the jobs and token counts of the next prefill chunk, by priority."""
        budget = CHUNK_TOKENS
        chunk_plan = []
        for attempt_id in sorted(
            self.prefilled, key=lambda a: (self.jobs[a].priority_at, a)
        ):
            left = self.jobs[attempt_id].prompt_tokens - self.prefilled[attempt_id]
            tokens = min(budget, left)
            chunk_plan.append((attempt_id, tokens))
            budget -= tokens
            if budget == 0:
                break
        return chunk_plan

    def stop_after_next_step(self, now: float) -> float | None:
        """End a batch of equal steps after the running step.

        Return the new end, or None if the batch does not get shorter.
        """
        if self.steps <= 1 or self.step_seconds == 0.0:
            return None
        done = int((now - self.started_at) / self.step_seconds)
        if done + 1 >= self.steps:
            return None
        self.steps = done + 1
        return self.started_at + self.steps * self.step_seconds

    def end_step(self) -> StepResult:
        """Apply the effects of the steps that have ended."""
        if self.remaining:
            new = self.step_seconds
            self.token_seconds += TOKEN_SECONDS_SMOOTHING * (new - self.token_seconds)
        finished = []
        for attempt_id in list(self.remaining):
            self.remaining[attempt_id] -= self.steps
            if self.remaining[attempt_id] <= 0:
                self.drop(attempt_id)
                finished.append(attempt_id)
        first = []
        for attempt_id, tokens in self.chunk_plan:
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
        """Return the current load report, with the engine's nominal prefill times."""
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
