"""Export the decision logic of gateways, which serve requests by configured routes."""

from cowslipshelf_core.internal.gateway.accept_throttle import (
    AcceptThrottle,
    AcceptThrottleConfig,
    WaitingConnection,
)
from cowslipshelf_core.internal.gateway.answer_times import AnswerTimes
from cowslipshelf_core.internal.gateway.cold_limiter import (
    UNLIMITED,
    ColdChoice,
    ColdLimiter,
    ColdLimiterConfig,
)
from cowslipshelf_core.internal.gateway.compression import (
    compress_configuration,
    decompress_configuration,
)
from cowslipshelf_core.internal.gateway.configuration import (
    CallerLimits,
    EngineModel,
    GatewayCustomer,
    Route,
    RouteConfiguration,
    RouteKind,
    ServiceConfiguration,
    WeightedService,
)
from cowslipshelf_core.internal.gateway.configuration_checks import (
    configuration_problem,
)
from cowslipshelf_core.internal.gateway.data_centre_outages import (
    DataCentreOutages,
    OutageBegan,
    OutageChange,
    OutageEnded,
    OutagesConfig,
)
from cowslipshelf_core.internal.gateway.engine_forecast import abandon_seconds
from cowslipshelf_core.internal.gateway.engine_tracker import EngineTracker, EngineView
from cowslipshelf_core.internal.gateway.exit_evidence import (
    BrokenAttempt,
    PartQuarantineConfig,
)
from cowslipshelf_core.internal.gateway.first_event_wait import FirstEventWait
from cowslipshelf_core.internal.gateway.known_evacuations import KnownEvacuations
from cowslipshelf_core.internal.gateway.limit_messages import (
    AskPermits,
    LimitLifted,
    LimitMessage,
    LimitState,
    LimitsTold,
    PermitsBooked,
    PermitsReturned,
)
from cowslipshelf_core.internal.gateway.link_loss import (
    LinkLoss,
    StreamPauses,
    link_surcharge,
)
from cowslipshelf_core.internal.gateway.memory_budget import (
    Holding,
    MemoryBudget,
    MemoryBudgetConfig,
    MemoryPurpose,
)
from cowslipshelf_core.internal.gateway.memory_lease import (
    MemoryLease,
    MemoryLeaseConfig,
)
from cowslipshelf_core.internal.gateway.messages import (
    BrokenPart,
    EnginePart,
    EngineWork,
    ExitPartsReport,
    ExitReport,
    FetchWork,
    HeartbeatsSeen,
    HeldPartReport,
    HeldWork,
    PartReport,
    PromptPartsTold,
    Relayed,
    SuspectRequestReport,
    SuspectRequestsTold,
    UpstreamExit,
    UpstreamObservation,
    UpstreamObservations,
    UpstreamOutcome,
    WorkChanged,
    WorkHeld,
)
from cowslipshelf_core.internal.gateway.part_quarantine import (
    EvidenceKey,
    PartQuarantine,
    parts_report_problem,
)
from cowslipshelf_core.internal.gateway.peer_table import (
    KnownPeer,
    PeerChange,
    PeerTable,
    PeerTableConfig,
)
from cowslipshelf_core.internal.gateway.permit_issuer import PermitIssuer
from cowslipshelf_core.internal.gateway.permit_wallet import Permit
from cowslipshelf_core.internal.gateway.placement_cost import (
    Distance,
    EngineCandidate,
    PromptToPlace,
)
from cowslipshelf_core.internal.gateway.prompt_cost import (
    PromptSize,
    admission_priority,
    answer_value,
    decode_pass_seconds,
    prefill_chunks,
    prefill_seconds,
)
from cowslipshelf_core.internal.gateway.prompt_placement import (
    EnginesChosen,
    NoEngine,
    place_prompt,
)
from cowslipshelf_core.internal.gateway.quarantine import (
    Allowed,
    AllowedAlone,
    HeldBack,
    ListedSuspect,
    RequestQuarantine,
    Verdict,
)
from cowslipshelf_core.internal.gateway.registry import (
    MAX_COLD_SECONDS,
    ColdReport,
    HeartbeatSeen,
    KnownUpstream,
    ReceivedHeartbeat,
    RegistryConfig,
    UpstreamHeartbeat,
    UpstreamPhase,
    UpstreamRegistry,
)
from cowslipshelf_core.internal.gateway.request_digest import (
    PartDigest,
    RequestDigest,
    request_digest,
    shared_part_digests,
)
from cowslipshelf_core.internal.gateway.request_rank import (
    UNRANKED,
    RequestRank,
    RequestRanks,
)
from cowslipshelf_core.internal.gateway.retry_budget import (
    ServiceRetryBudget,
    ServiceRetryBudgetConfig,
)
from cowslipshelf_core.internal.gateway.route_table import RouteTable, choose_service
from cowslipshelf_core.internal.gateway.routes_fetch import RoutesFetch
from cowslipshelf_core.internal.gateway.shared_health import (
    ReportsOutcome,
    SharedHealth,
)
from cowslipshelf_core.internal.gateway.stream_slowness import StreamSlowness
from cowslipshelf_core.internal.gateway.suspect_request import (
    QuarantineConfig,
    suspect_report_problem,
)
from cowslipshelf_core.internal.gateway.upstream_choice import (
    UpstreamCandidate,
    choose_upstream,
)
from cowslipshelf_core.internal.gateway.upstream_health import (
    HealthEstimate,
    UpstreamHealth,
)
from cowslipshelf_core.internal.gateway.upstream_limits import (
    NOTHING_LIMITED,
    LimitChange,
    LimitChoice,
    UpstreamLimits,
    UpstreamLimitsConfig,
)
from cowslipshelf_core.internal.gateway.upstream_start import (
    START_UNKNOWN,
    UpstreamStart,
)
from cowslipshelf_core.internal.gateway.work_gaps import WorkGapDetector

__all__ = [
    "AcceptThrottle",
    "AcceptThrottleConfig",
    "WaitingConnection",
    "EvidenceKey",
    "BrokenPart",
    "BrokenAttempt",
    "ExitPartsReport",
    "HeldPartReport",
    "PartQuarantine",
    "PartQuarantineConfig",
    "PartReport",
    "PromptPartsTold",
    "parts_report_problem",
    "AllowedAlone",
    "AnswerTimes",
    "CallerLimits",
    "DataCentreOutages",
    "Distance",
    "ColdChoice",
    "ColdLimiter",
    "ColdLimiterConfig",
    "ColdReport",
    "EngineCandidate",
    "ExitReport",
    "EngineTracker",
    "EngineModel",
    "EnginePart",
    "EngineView",
    "EngineWork",
    "EnginesChosen",
    "FetchWork",
    "FirstEventWait",
    "Allowed",
    "HealthEstimate",
    "HeartbeatSeen",
    "HeartbeatsSeen",
    "HeldBack",
    "HeldWork",
    "KnownEvacuations",
    "KnownPeer",
    "KnownUpstream",
    "LinkLoss",
    "ListedSuspect",
    "StreamPauses",
    "link_surcharge",
    "MAX_COLD_SECONDS",
    "Holding",
    "MemoryBudget",
    "MemoryBudgetConfig",
    "MemoryPurpose",
    "MemoryLease",
    "MemoryLeaseConfig",
    "START_UNKNOWN",
    "NoEngine",
    "OutageBegan",
    "OutageChange",
    "OutageEnded",
    "OutagesConfig",
    "PartDigest",
    "PeerTable",
    "PeerTableConfig",
    "PeerChange",
    "UNLIMITED",
    "UpstreamCandidate",
    "PromptToPlace",
    "PromptSize",
    "QuarantineConfig",
    "ReceivedHeartbeat",
    "RegistryConfig",
    "Relayed",
    "ReportsOutcome",
    "ServiceRetryBudget",
    "ServiceRetryBudgetConfig",
    "SharedHealth",
    "RequestDigest",
    "RequestRank",
    "RequestRanks",
    "UNRANKED",
    "RequestQuarantine",
    "Route",
    "RouteConfiguration",
    "RouteKind",
    "RouteTable",
    "GatewayCustomer",
    "RoutesFetch",
    "ServiceConfiguration",
    "StreamSlowness",
    "SuspectRequestReport",
    "SuspectRequestsTold",
    "UpstreamExit",
    "UpstreamHealth",
    "UpstreamHeartbeat",
    "UpstreamObservation",
    "UpstreamObservations",
    "UpstreamOutcome",
    "UpstreamPhase",
    "UpstreamRegistry",
    "UpstreamStart",
    "Verdict",
    "WeightedService",
    "WorkChanged",
    "WorkHeld",
    "WorkGapDetector",
    "admission_priority",
    "choose_service",
    "choose_upstream",
    "configuration_problem",
    "abandon_seconds",
    "compress_configuration",
    "decode_pass_seconds",
    "place_prompt",
    "suspect_report_problem",
    "prefill_chunks",
    "prefill_seconds",
    "request_digest",
    "shared_part_digests",
    "decompress_configuration",
    "answer_value",
    "NOTHING_LIMITED",
    "AskPermits",
    "LimitChange",
    "LimitChoice",
    "LimitLifted",
    "LimitMessage",
    "LimitState",
    "LimitsTold",
    "Permit",
    "PermitIssuer",
    "PermitsBooked",
    "PermitsReturned",
    "UpstreamLimits",
    "UpstreamLimitsConfig",
]
