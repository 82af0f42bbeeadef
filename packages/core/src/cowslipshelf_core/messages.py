"""Define the messages between the system's own processes."""

import msgspec

from cowslipshelf_core.configuration import (
    DEFAULT_DEADLINE_SECONDS,
    FleetConfiguration,
)
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import (
    AttemptId,
    ConfigurationVersion,
    CustomerName,
    DataCentre,
    Epoch,
    FencingNumber,
    InstanceId,
    OrderId,
    RequestId,
    UpstreamId,
)
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Be a typed message; the class name is its tag on the wire."""


# Announcing and leaving, between sidecars and entries.


class Announce(Message, frozen=True):
    """Say that an upstream is there, and renew its lease."""

    description: UpstreamDescription
    epoch: Epoch
    lease_seconds: float
    load: LoadReport
    leaving: bool = False
    """Whether it takes no new work, for good or until its upstream answers again."""
    entries_digest: str = ""
    """Digest of the entries that the sidecar knows."""


class AnnounceAnswer(Message, frozen=True):
    """Answer an announcement with the entries that the sidecar may use."""

    upstream_id: UpstreamId
    entries: tuple[tuple[InstanceId, str], ...]
    """Entries known to the answering one, with their mailbox addresses.

    Empty where the sidecar knows just these.
    """


class Withdraw(Message, frozen=True):
    """Say that an upstream has left for good; its lease ends now."""

    upstream_id: UpstreamId
    epoch: Epoch


class Suspect(Message, frozen=True):
    """Tell other entries that an upstream has been silent towards the sender."""

    upstream_id: UpstreamId
    epoch: Epoch
    silent_seconds: float


# Which processes there are, among entries.


class EntryAlive(Message, frozen=True):
    """Say that an entry instance is there, and whether it holds a replica."""

    data_centre: DataCentre
    holds_replica: bool
    configuration_version: ConfigurationVersion
    in_force_since: float
    """Seconds since 1970 at which the sender put that version in force."""


class PeerAlive(Message, frozen=True):
    """Say that a gateway is there, and now and then which others it knows."""

    epoch: Epoch
    data_centre: DataCentre
    holds_replica: bool
    routes_version: ConfigurationVersion
    peers: tuple[InstanceId, ...]
    work_number: int = 0
    """Number of the last change of work that it has told."""
    routes_bytes: int = 0
    """Size of its configuration, as it would send it."""
    replica_in_memory: bool = False
    """Whether the replica that it holds ends with its process."""


# Spreading the configuration.


class RoutesDocument(Message, frozen=True):
    """Be one routed configuration."""

    version: ConfigurationVersion
    digest: str
    """Equal for equal contents, whatever their order and white space."""
    body: bytes
    """What the operator sent, packed; see `compress_configuration`."""


class FetchRoutes(Message, frozen=True):
    """Ask for the routed configuration by somebody who has an older one."""

    have_version: ConfigurationVersion
    query_id: str = ""
    """Names a question for a quorum's word; the answer repeats it, and has no body
    where the version is the one that the asker has."""


class RoutesSnapshot(Message, frozen=True):
    """Carry the routed configuration that the sender holds."""

    document: RoutesDocument
    confirmed_by_quorum: bool
    query_id: str = ""
    """Repeats `FetchRoutes.query_id`."""


class FetchConfiguration(Message, frozen=True):
    """Ask for the configuration in force by somebody who has an older one."""

    have_version: ConfigurationVersion
    query_id: str = ""
    """Names a question for a quorum's word; the answer repeats it."""


class ConfigurationSnapshot(Message, frozen=True):
    """Carry the whole configuration in force at the sender."""

    configuration: FleetConfiguration
    confirmed_by_quorum: bool
    """Whether a quorum confirmed it after the question that it answers."""
    query_id: str = ""
    """Repeats `FetchConfiguration.query_id`."""


# Orders to upstreams, between the leader and sidecars.


class OrderSent(Message, frozen=True):
    """Bring an open order to the sidecar of its upstream; sent until it is closed."""

    order_id: OrderId
    upstream_id: UpstreamId
    kind: str
    argument: str
    fencing: FencingNumber


class FencingAsked(Message, frozen=True):
    """Ask a replica for an upstream's newest fencing number, as a quorum has it."""

    upstream_id: UpstreamId
    query_id: str


class FencingAnswered(Message, frozen=True):
    """Answer with the newest fencing number, confirmed by a quorum."""

    upstream_id: UpstreamId
    query_id: str
    fencing: FencingNumber


# Requests that must run at most once; commands to the replicated state.


class ClaimAsked(Message, frozen=True):
    """Claim the right to run the request under a customer's idempotency key."""

    customer: CustomerName
    key: str
    request_id: RequestId
    attempt_id: AttemptId
    upstream_id: UpstreamId
    sidecar_epoch: Epoch
    owner: InstanceId
    body_digest: str
    deadline_seconds: float


class ClaimMoved(Message, frozen=True):
    """Move a claim to a new attempt after the old one was promised never to run.

    Another request with the same key and body may take the claim over this way.
    """

    customer: CustomerName
    key: str
    request_id: RequestId
    from_attempt: AttemptId
    to_attempt: AttemptId
    upstream_id: UpstreamId
    sidecar_epoch: Epoch
    owner: InstanceId
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS
    """Time left of the new holder's deadline, where the claim is taken over."""


class StoredAnswer(Message, frozen=True):
    """Be an answer that later resends of the same key get."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    whole: bool
    """False where the body was too large to store; the run itself was whole."""


class ClaimFinished(Message, frozen=True):
    """Store the answer, or the refusal, that ends a claim."""

    customer: CustomerName
    key: str
    request_id: RequestId
    attempt_id: AttemptId
    answer: StoredAnswer | None
    refusal: Refusal | None


class ClaimLookedUp(Message, frozen=True):
    """Ask who holds a key, without claiming it; grants nothing."""

    customer: CustomerName
    key: str
    request_id: RequestId
    body_digest: str


class ClaimGranted(Message, frozen=True):
    """Answer that the asker alone may run the request, under this attempt."""

    attempt_id: AttemptId


class ClaimHeld(Message, frozen=True):
    """Answer that another request holds the key, and what is known of it."""

    request_id: RequestId
    attempt_id: AttemptId
    upstream_id: UpstreamId
    sidecar_epoch: Epoch
    owner: InstanceId
    deadline_passed: bool
    answer: StoredAnswer | None
    refusal: Refusal | None


class ClaimAbsent(Message, frozen=True):
    """Answer that nobody holds the key: nothing is known to have run under it."""


class ClaimRefused(Message, frozen=True):
    """Answer that the key belongs to another body, or that the attempt is not open."""

    reason: str


# Frames of an answer, from a sidecar to an entry, over one HTTP response.


class StreamHead(Message, frozen=True):
    """Begin an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class StreamChunk(Message, frozen=True):
    """Carry the next piece of an answer; sequence numbers count from one."""

    sequence: int
    data: bytes
    tokens: int = 0


class StreamHeartbeat(Message, frozen=True):
    """Show that the connection lives while there is nothing to say."""


class StreamEnd(Message, frozen=True):
    """End an answer; without this frame an answer is not whole."""

    last_sequence: int
    refusal: Refusal | None = None
    upstream_ended: bool = False
    """Whether the upstream's process was gone as the answer broke off."""


class AttemptReserved(Message, frozen=True):
    """Say that memory is reserved for an attempt that waits for `PartsReady`."""


class PartPrefilled(Message, frozen=True):
    """Say that an engine holds the KV cache of its part of a prompt."""

    part: KvReference


Frame = (
    StreamHead
    | StreamChunk
    | StreamHeartbeat
    | StreamEnd
    | AttemptReserved
    | PartPrefilled
)


class PartsReady(Message, frozen=True):
    """Let a reserved attempt begin, with what other engines hold of its prompt."""

    parts: tuple[KvReference, ...]


# What a sidecar answers about attempts, as bodies of HTTP responses.


class AttemptRefused(Message, frozen=True):
    """Refuse a hand-over, with the sidecar's present load as the last word."""

    refusal: Refusal
    load: LoadReport


class NeverRan(Message, frozen=True):
    """Promise that an attempt was never handed to the upstream and never will be."""

    attempt_id: AttemptId


class MayHaveRun(Message, frozen=True):
    """Say that an attempt was handed over, or that this sidecar can't know."""

    attempt_id: AttemptId
    known: bool
    """True where this sidecar holds the attempt and its frames can be read."""
