"""Build valid settings documents and faults to put into them."""

from collections.abc import Callable
from typing import Any, NamedTuple

CLUSTER_KEY = "a-secret-of-the-fleet"
Json = dict[str, Any]


def entry_document() -> Json:
    return {
        "instance": "entry-1",
        "data_centre": "maadi",
        "data_centres": ["maadi", "nasr"],
        "role": "entry",
        "cluster_key": CLUSTER_KEY,
        "mailbox_address": "10.0.0.1:7000",
        "entries": [listed_entry(1, "maadi"), listed_entry(2, "nasr")],
        "entry": {
            "callers_address": "0.0.0.0:8080",
            "operators_address": "10.0.0.1:8090",
            "data_folder": "/data",
            "operator_key_hashes": ["ab" * 32],
            "limits": {"largest_body_bytes": 2_000_000},
        },
        "timings": {"announce_seconds": 0.5, "lease_seconds": 3},
        "log": {"format": "console"},
    }


def sidecar_document() -> Json:
    document = entry_document()
    del document["entry"]
    upstream = {
        "upstream_id": "runner-1",
        "service": "scribe",
        "kind": "model",
        "address": "10.0.1.1:9000",
        "models": ["large"],
        "memory_tokens": 400_000,
    }
    return document | {
        "instance": "sidecar-1",
        "role": "sidecar",
        "mailbox_address": "10.0.1.1:7000",
        "sidecar": {"attempts_address": "10.0.1.1:7200", "upstream": upstream},
    }


def listed_entry(number: int, data_centre: str) -> Json:
    return {
        "instance": f"entry-{number}",
        "data_centre": data_centre,
        "mailbox_address": f"10.0.0.{number}:7000",
        "replica": True,
    }


class Fault(NamedTuple):
    """Define a mistake in an entry's settings and the field that must be reported."""

    field: str
    apply: Callable[[Json], object]
    other_fields: tuple[str, ...] = ()
    """Path prefixes of the other fields that the violated rule reads."""


def put(*path: str | int, value: object) -> Callable[[Json], object]:
    """Return a mistake that sets one field to a value."""

    def apply(document: Any) -> None:
        for key in path[:-1]:
            document = document[key]
        document[path[-1]] = value

    return apply


FAULTS = (
    Fault('"instanse"', put("instanse", value="x")),
    Fault('log."levl"', put("log", "levl", value="info")),
    Fault("cluster_key", put("cluster_key", value="short-secret")),
    Fault("instance", put("instance", value="entry 1\n")),
    Fault("mailbox_address", put("mailbox_address", value="localhost:7000")),
    Fault(
        "entry.operators_address", put("entry", "operators_address", value="1.2.3.4")
    ),
    Fault("entry.callers_address", put("entry", "callers_address", value="[::1]:0")),
    Fault(
        "entries[1].mailbox_address",
        put("entries", 1, "mailbox_address", value="10.0.0.1:8090"),
        other_fields=("entry.operators_address", "instance", "entries[1]."),
    ),
    Fault("entries[1].instance", put("entries", 1, "instance", value="entry-1")),
    Fault("entries[1].replica", put("entries", 1, "replica", value="yes")),
    Fault(
        "data_centres[2]",
        put("data_centres", value=["maadi", "nasr", "empty"]),
        other_fields=("data_centre", "entries["),
    ),
    Fault("entries[0].data_centre", put("entries", 0, "data_centre", value="unlisted")),
    Fault("timings.lease_seconds", put("timings", "lease_seconds", value=0.9)),
    Fault("timings.silence_seconds", put("timings", "silence_seconds", value=0.6)),
    Fault("timings.tick_seconds", put("timings", "tick_seconds", value=-1)),
    Fault("timings.connect_seconds", put("timings", "connect_seconds", value="1")),
    Fault(
        "entry.limits.largest_body_bytes",
        put("entry", "limits", "largest_body_bytes", value=1.5),
    ),
    Fault(
        "entry.operator_key_hashes[0]",
        put("entry", "operator_key_hashes", value=["the key itself"]),
    ),
    Fault("log.format", put("log", "format", value="xml")),
    Fault("role", put("role", value="leader")),
    Fault("sidecar.attempts_address", put("sidecar", value={})),
)
