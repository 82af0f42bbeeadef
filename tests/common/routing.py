"""Build events for the tests of the router, and check its answers."""

from hypothesis import settings

from cowslipshelf_core.configuration import Customer, FleetConfiguration, Model, Service
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.routing import (
    ChosenUpstream,
    ConfigurationApplied,
    PlacementAnswered,
    PlacementAsked,
    PlacementFacts,
    UpstreamAvailable,
)
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription

PROPERTY = settings(deadline=None, derandomize=True, max_examples=60)
"""Settings of the router's property tests; derandomized, so runs are repeatable."""

SERVICE = "assist-llm"
MODEL = "field-model"
START = 1_000.0
MEMORY = 480_000


def load(sequence: int = 0, **fields: object) -> LoadReport:
    """Build a load report with the usual seconds per token."""
    return LoadReport(
        sequence=sequence,
        memory_tokens=fields.pop("memory_tokens", MEMORY),
        prefill_seconds_per_token=25e-6,
        prefill_seconds_per_token_squared=3e-11,
        decode_seconds_per_token=0.02,
        **fields,
    )


def available(
    name: str,
    report: LoadReport | None = None,
    epoch: str = "1",
    models: tuple[str, ...] = (MODEL,),
) -> UpstreamAvailable:
    """Build the event that an upstream is available."""
    description = UpstreamDescription(
        UpstreamId(name), "santarem-hall", SERVICE, "model", models, MEMORY, True, name
    )
    return UpstreamAvailable(description, epoch, report or load())


def configured(
    version: int = 1,
    weights: dict[str, int] | None = None,
    most_concurrent: int = 10_000,
    draining: tuple[str, ...] = (),
    long_prompt_weight: float = 1.0,
) -> ConfigurationApplied:
    """Build the event that a configuration is in force."""
    return ConfigurationApplied(
        FleetConfiguration(
            version,
            tuple(
                Customer(name, "", (SERVICE,), weight, most_concurrent)
                for name, weight in (weights or {"factory": 1}).items()
            ),
            (
                Service(
                    SERVICE, "model", (MODEL,), long_prompt_weight=long_prompt_weight
                ),
            ),
            (Model(MODEL, "1"),),
            draining,
        )
    )


def asked(
    number: int,
    prompt_tokens: int = 2_000,
    customer: str = "factory",
    deadline: float = 60.0,
    excluded: frozenset[str] = frozenset(),
    model: str = MODEL,
    prefix_hash: int = 0,
) -> PlacementAsked:
    """Build a placement request."""
    facts = PlacementFacts(
        f"request-{number}",
        f"attempt-{number}",
        customer,
        SERVICE,
        model,
        prompt_tokens,
        200,
        prefix_hash,
        deadline,
    )
    return PlacementAsked(f"ask-{number}", facts, excluded)


def chosen(answers: list[PlacementAnswered]) -> list[UpstreamId]:
    """Return the chosen upstreams of the answers that are not refusals."""
    return [
        a.answer.upstream_id for a in answers if isinstance(a.answer, ChosenUpstream)
    ]


def refusals(answers: list[PlacementAnswered]) -> list[Refusal]:
    """Return the refusals among the answers."""
    return [a.answer for a in answers if isinstance(a.answer, Refusal)]


def check_spread(answer: ChosenUpstream, needed: int, memory: int = MEMORY) -> None:
    """Check that parts cover the prompt once, fit in memory, and are in id order."""
    names = [*(part.upstream_id for part in answer.helpers), answer.upstream_id]
    assert len(names) > 1
    assert names == sorted(set(names))
    ends = [part.to_token for part in answer.helpers]
    assert [part.from_token for part in answer.helpers] == [0, *ends[:-1]]
    assert ends[-1] == answer.from_token
    cuts = [0, *ends, needed]
    sizes = [end - start for start, end in zip(cuts, cuts[1:], strict=False)]
    assert all(0 < size <= memory for size in sizes)
