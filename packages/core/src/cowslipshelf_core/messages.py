"""Define the messages between the processes of the system."""

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
    """Define the base of typed messages; the class name is the tag on the wire."""


# Announcements and withdrawals, between sidecars and entries.


class Announce(Message, frozen=True):
    """Announce an upstream, and renew its lease."""

    description: UpstreamDescription
    epoch: Epoch
    lease_seconds: float
    load: LoadReport
    leaving: bool = False
    """Whether it accepts no new attempts, for good or until the upstream recovers."""
    entries_digest: str = ""
    """Digest of the entries that the sidecar knows; see `digest_entries`."""


class AnnounceAnswer(Message, frozen=True):
    """Answer an announcement with the entries that the sidecar may announce to."""

    upstream_id: UpstreamId
    entries: tuple[tuple[InstanceId, str], ...]
    """Entries that the answering one knows, with their mailbox addresses.

    Empty if the sidecar knows exactly these.
    """


class Withdraw(Message, frozen=True):
    """Withdraw an upstream for good; its lease ends now."""

    upstream_id: UpstreamId
    epoch: Epoch


class Suspect(Message, frozen=True):
    """Tell other entries that the sender no longer hears an upstream."""

    upstream_id: UpstreamId
    epoch: Epoch
    silent_seconds: float


# Liveness of entries and of gateways.


class EntryAlive(Message, frozen=True):
    """Report that an entry instance is alive, and whether it holds a replica."""

    data_centre: DataCentre
    holds_replica: bool
    configuration_version: ConfigurationVersion
    in_force_since: float
    """Unix time in seconds at which the sender put that version in force."""


class PeerAlive(Message, frozen=True):
    """Report that a gateway is alive, and in some messages which peers it knows."""

    epoch: Epoch
    data_centre: DataCentre
    holds_replica: bool
    routes_version: ConfigurationVersion
    peers: tuple[InstanceId, ...]
    work_number: int = 0
    """Number of the last `WorkChanged` message that it has sent."""
    routes_bytes: int = 0
    """Size of its configuration as it is sent, in bytes."""
    replica_in_memory: bool = False
    """Whether its replica is kept only in memory, and lost when its process ends."""
    evacuation_revision: int = 0
    """Revision of the evacuations that it knows."""
    evacuated: tuple[DataCentre, ...] = ()
    """Data centres that are evacuated at that revision."""


class EvacuationState(Message, frozen=True):
    """Hold the evacuated data centres at one revision, from a gateway's replica."""

    revision: int
    """Log index of the last change; the highest revision is in force."""
    data_centres: tuple[DataCentre, ...]


NO_EVACUATIONS = EvacuationState(0, ())


# Distribution of the configuration.


class RoutesDocument(Message, frozen=True):
    """Hold one version of a gateway's configuration."""

    version: ConfigurationVersion
    digest: str
    """Equal for equal contents, regardless of their order and white space."""
    body: bytes
    """The operator's document, compressed; see `compress_configuration`."""


class FetchRoutes(Message, frozen=True):
    """Request the gateway configuration if it is newer than the sender's."""

    have_version: ConfigurationVersion
    query_id: str = ""
    """If not empty, requests an answer that a quorum confirms, and identifies it.

    Then the answer has no body if its version is the one that the sender has.
    """


class RoutesSnapshot(Message, frozen=True):
    """Answer with the gateway configuration that the sender holds."""

    document: RoutesDocument
    confirmed_by_quorum: bool
    query_id: str = ""
    """Repeats `FetchRoutes.query_id`."""


class FetchConfiguration(Message, frozen=True):
    """Request the configuration in force if it is newer than the sender's."""

    have_version: ConfigurationVersion
    query_id: str = ""
    """If not empty, requests an answer that a quorum confirms, and identifies it."""


class ConfigurationSnapshot(Message, frozen=True):
    """Answer with the whole configuration in force at the sender."""

    configuration: FleetConfiguration
    confirmed_by_quorum: bool
    """Whether a quorum confirmed it after the request that it answers."""
    query_id: str = ""
    """Repeats `FetchConfiguration.query_id`."""


# Orders to upstreams, between the leader and sidecars.


class OrderSent(Message, frozen=True):
    """Send an open order to its upstream's sidecar; repeated until it is closed."""

    order_id: OrderId
    upstream_id: UpstreamId
    kind: str
    argument: str
    fencing: FencingNumber


class FencingAsked(Message, frozen=True):
    """Request an upstream's newest fencing number, confirmed by a quorum."""

    upstream_id: UpstreamId
    query_id: str


class FencingAnswered(Message, frozen=True):
    """Answer with the newest fencing number, confirmed by a quorum."""

    upstream_id: UpstreamId
    query_id: str
    fencing: FencingNumber


# Claims of requests that must run at most once: commands to the replicated state.


class ClaimAsked(Message, frozen=True):
    """Claim the right to run the request with a customer's idempotency key."""

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
    """Move a claim to a new attempt after a guarantee that the old one never runs.

    Another request with the same key and body can take over the claim this way.
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
    """Remaining time until the deadline of the new holder, if it takes over."""


class StoredAnswer(Message, frozen=True):
    """Hold the answer that resends with the same key receive."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    whole: bool
    """False if the body was too large to store; the run itself was complete."""


class ClaimFinished(Message, frozen=True):
    """Store the answer, or the refusal, that ends a claim."""

    customer: CustomerName
    key: str
    request_id: RequestId
    attempt_id: AttemptId
    answer: StoredAnswer | None
    refusal: Refusal | None


class ClaimLookedUp(Message, frozen=True):
    """Look up who holds a key, without claiming it."""

    customer: CustomerName
    key: str
    request_id: RequestId
    body_digest: str


class ClaimGranted(Message, frozen=True):
    """Answer that only the claimant may run the request, with this attempt."""

    attempt_id: AttemptId


class ClaimHeld(Message, frozen=True):
    """Answer that another request holds the key, with what is known of it."""

    request_id: RequestId
    attempt_id: AttemptId
    upstream_id: UpstreamId
    sidecar_epoch: Epoch
    owner: InstanceId
    deadline_passed: bool
    answer: StoredAnswer | None
    refusal: Refusal | None


class ClaimAbsent(Message, frozen=True):
    """Answer that no request holds the key: none is known to have run with it."""


class ClaimRefused(Message, frozen=True):
    """Answer that the key was used with another body, or the attempt is not open."""

    reason: str


# Frames of an answer, from a sidecar to an entry, in one HTTP response.


class StreamHead(Message, frozen=True):
    """Begin an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class StreamChunk(Message, frozen=True):
    """Carry the next chunk of an answer; sequence numbers start at one."""

    sequence: int
    data: bytes
    tokens: int = 0


class StreamHeartbeat(Message, frozen=True):
    """Show that the connection is alive while there is no other frame to send."""


class StreamEnd(Message, frozen=True):
    """End an answer; without this frame an answer is incomplete."""

    last_sequence: int
    refusal: Refusal | None = None
    upstream_ended: bool = False
    """Whether the upstream's process had ended when the answer was cut off."""


class AttemptReserved(Message, frozen=True):
    """Report that memory is reserved for an attempt that waits for `PartsReady`."""


class PartPrefilled(Message, frozen=True):
    """Report that an engine holds the KV cache of its part of a prompt."""

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
    """Start a reserved attempt, with the KV cache that other engines hold for it."""

    parts: tuple[KvReference, ...]


# Answers of a sidecar about attempts, as bodies of HTTP responses.


class AttemptRefused(Message, frozen=True):
    """Refuse a hand-over, with the current load of the sidecar."""

    refusal: Refusal
    load: LoadReport


class NeverRan(Message, frozen=True):
    """Guarantee that an attempt was not handed to the upstream and never will be."""

    attempt_id: AttemptId


class MayHaveRun(Message, frozen=True):
    """Answer that an attempt was handed over, or that this sidecar does not know."""

    attempt_id: AttemptId
    known: bool
    """Whether this sidecar holds the attempt, so that its frames can be read."""
