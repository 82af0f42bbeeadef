"""Define what the directory tells the router about upstreams."""

from dataclasses import dataclass

from cowslipshelf_core.identifiers import Epoch, UpstreamId
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription


@dataclass(frozen=True, slots=True)
class UpstreamAvailable:
    """Say that an upstream may be given work, under this start of its sidecar."""

    description: UpstreamDescription
    epoch: Epoch
    load: LoadReport


@dataclass(frozen=True, slots=True)
class UpstreamUnavailable:
    """Say that an upstream must not be given new work."""

    upstream_id: UpstreamId
    reason: str


@dataclass(frozen=True, slots=True)
class LoadUpdated:
    """Carry a newer load report of an available upstream."""

    upstream_id: UpstreamId
    epoch: Epoch
    load: LoadReport
