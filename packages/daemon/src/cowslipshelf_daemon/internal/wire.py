"""Define the union of the messages that daemons exchange through mailboxes."""

from typing import Union

from cowslipshelf_core.agreement import AgreementMessage
from cowslipshelf_core.gateway import (
    AskPermits,
    FetchWork,
    HeartbeatsSeen,
    LimitLifted,
    LimitsTold,
    PermitsBooked,
    PermitsReturned,
    Relayed,
    SuspectRequestsTold,
    UpstreamObservations,
    WorkChanged,
    WorkHeld,
)
from cowslipshelf_core.messages import (
    Announce,
    AnnounceAnswer,
    ConfigurationSnapshot,
    EntryAlive,
    FencingAnswered,
    FencingAsked,
    FetchConfiguration,
    FetchRoutes,
    OrderSent,
    PeerAlive,
    RoutesSnapshot,
    Suspect,
    Withdraw,
)

MailboxMessage = Union[  # noqa: UP007 - built from another union at run time
    Announce,
    AnnounceAnswer,
    AskPermits,
    ConfigurationSnapshot,
    EntryAlive,
    FencingAnswered,
    FencingAsked,
    FetchConfiguration,
    LimitLifted,
    LimitsTold,
    OrderSent,
    FetchRoutes,
    FetchWork,
    HeartbeatsSeen,
    PeerAlive,
    PermitsBooked,
    PermitsReturned,
    Relayed,
    RoutesSnapshot,
    Suspect,
    SuspectRequestsTold,
    UpstreamObservations,
    Withdraw,
    WorkChanged,
    WorkHeld,
    AgreementMessage,
]
