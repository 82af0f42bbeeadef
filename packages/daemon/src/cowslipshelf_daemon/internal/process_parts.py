"""Make the parts that entries and sidecars have in common."""

from collections.abc import Callable

from cowslipshelf_core.agreement import ProposalClient, ProposalClientConfig
from cowslipshelf_core.configuration_view import (
    ConfigurationView,
    ConfigurationViewConfig,
)
from cowslipshelf_core.identifiers import ConfigurationVersion, Epoch, InstanceId
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_daemon.internal.wire import MailboxMessage
from cowslipshelf_fleet.mailboxes import Mailbox, MailboxConfig, Received
from cowslipshelf_host.settings import DaemonSettings


def make_messenger(settings: DaemonSettings) -> Messenger:
    """Make the messenger, which knows the entries of the settings at first."""
    messenger = Messenger(settings.instance, settings.mailbox_address)
    for entry in settings.entries:
        messenger.add_entry(entry.instance, entry.mailbox_address)
    return messenger


def replica_instances(settings: DaemonSettings) -> tuple[InstanceId, ...]:
    """Return the instances that hold replicas, in the order of the settings."""
    return tuple(entry.instance for entry in settings.entries if entry.replica)


def make_proposal_client(settings: DaemonSettings) -> ProposalClient:
    """Make the client that proposes commands to the replicas."""
    return ProposalClient.from_config(ProposalClientConfig(replica_instances(settings)))


def make_view(settings: DaemonSettings, epoch: Epoch) -> ConfigurationView:
    """Make the view of the configuration, which the replicas confirm."""
    addresses = tuple(
        entry.mailbox_address for entry in settings.entries if entry.replica
    )
    return ConfigurationView.from_config(ConfigurationViewConfig(epoch, addresses))


def make_mailbox(
    settings: DaemonSettings,
    epoch: Epoch,
    receive: Callable[[Received], None],
    version: Callable[[], ConfigurationVersion],
) -> Mailbox:
    """Make the mailbox, which calls `receive` and `version` on its own threads."""
    config = MailboxConfig(
        instance=settings.instance,
        epoch=epoch,
        listen_address=settings.mailbox_address,
        cluster_key=settings.cluster_key.encode(),
        heartbeat_seconds=settings.timings.heartbeat_seconds,
        silence_seconds=settings.timings.silence_seconds,
        message_types=MailboxMessage,
    )
    return Mailbox.from_config(config, receive, version)
