"""Build hand-overs and sidecars for tests."""

from cowslipshelf_core.configuration import (
    Customer,
    FleetConfiguration,
    Model,
    Service,
)
from cowslipshelf_core.sidecar import (
    ConfigurationApplied,
    SidecarConfig,
    SidecarState,
)
from cowslipshelf_core.upstream import HandOver, UpstreamDescription

MEMORY_TOKENS = 1000


def configuration(version=1, services=("assist-llm",), draining=()):
    """Build a configuration with one model; customer `gate` may use `services`."""
    return FleetConfiguration(
        version,
        (Customer("gate", "", tuple(services)),),
        (Service("assist-llm", "model", ("small",)),),
        (Model("small", "1"),),
        tuple(draining),
    )


def description(upstream_id="runner-1", memory_tokens=MEMORY_TOKENS):
    """Describe an engine."""
    return UpstreamDescription(
        upstream_id,
        "coruche-hall",
        "assist-llm",
        "model",
        ("small",),
        memory_tokens,
        False,
        "127.0.0.1:1",
    )


def sidecar(epoch="start-1", memory_tokens=MEMORY_TOKENS, **limits):
    """Build a sidecar state with a configuration in force."""
    upstream = description(memory_tokens=memory_tokens)
    state = SidecarState.from_config(SidecarConfig(upstream, epoch, **limits))
    state.handle(ConfigurationApplied(configuration()), 0.0)
    return state


def hand_over(attempt_id, **changes):
    """Build a hand-over of 200 tokens to the first start of `runner-1`."""
    fields = {
        "request_id": "request",
        "attempt_id": attempt_id,
        "owner": "entry-1",
        "upstream_id": "runner-1",
        "sidecar_epoch": "start-1",
        "configuration_version": 1,
        "customer": "gate",
        "service": "assist-llm",
        "model": "small",
        "non_idempotent": False,
        "deadline_seconds": 60.0,
        "prompt_tokens": 100,
        "max_output_tokens": 100,
        "priority": 0,
        "prefix_hash": 0,
        "method": "POST",
        "path": "/v1/completions",
        "headers": (),
        "body": b"",
        "load_sequence": 1,
    }
    return HandOver(**(fields | changes))
