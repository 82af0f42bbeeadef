"""Check what the actor of a replica still does after its disk has failed."""

import time

from hypothesis import given, settings
from hypothesis import strategies as st

from common.single_replica import ELECTION_SECONDS, SingleReplica
from cowslipshelf_core.agreement import (
    LeaderSeen,
    ProposalRefusal,
    ProposalResult,
    Propose,
    Role,
)
from cowslipshelf_core.control import encode_command
from cowslipshelf_core.messages import (
    ClaimAsked,
    ConfigurationSnapshot,
    FetchConfiguration,
)
from cowslipshelf_daemon.internal.ticker import Tick

REFUSALS = {ProposalRefusal.OUTCOME_UNKNOWN, ProposalRefusal.DISK_FAILED}


def propose(number: int) -> Propose:
    claim = ClaimAsked("c", f"k{number}", "r", "a", "u", "e", "o", "d", 10.0)
    return Propose(f"p{number}", encode_command(claim))


@given(before=st.integers(0, 4), during=st.integers(1, 4), reads=st.integers(0, 3))
@settings(max_examples=25, deadline=None, derandomize=True)
def test_whoever_waits_for_a_replica_whose_disk_fails_is_told_so(before, during, reads):
    """The leader's disk becomes full while changes wait for their sync.

    The outcomes of the batch are lost. Its proposers and readers must be told at once,
    and nothing that was not synced may be reported as done.
    """
    single = SingleReplica()
    single.deliver_together([propose(number) for number in range(before)])
    results = single.messenger.take(ProposalResult)
    assert [result.refusal for result in results] == [None] * before
    single.gateway.messages.clear()
    single.storage.full = True
    asked = [FetchConfiguration(0, f"q{number}") for number in range(reads)]
    single.deliver_together([*asked, *[propose(9 + n) for n in range(during)]])
    sent = list(single.messenger.messages)
    results = single.messenger.take(ProposalResult)
    assert {result.proposal_id for result in results} == {
        f"p{9 + number}" for number in range(during)
    }
    assert {result.refusal for result in results} <= REFUSALS
    answers = [one for one in sent if isinstance(one, ConfigurationSnapshot)]
    assert [answer.confirmed_by_quorum for answer in answers] == [False] * reads
    assert single.gateway.take(LeaderSeen)[-1] == LeaderSeen(None)


def test_a_replica_whose_disk_failed_goes_on_refusing():
    """A full disk gets free space again while the process runs.

    The replica cannot know which writes the page cache has lost, so it may vote again
    only after a restart. Until then operators see the failure, and proposers are
    refused at once and try another replica.
    """
    single = SingleReplica()
    single.storage.full = True
    single.deliver_together([propose(1)])
    single.storage.full = False
    single.messenger.messages.clear()
    for _ in range(20):
        single.actor.on_receive(Tick())
        time.sleep(ELECTION_SECONDS / 2)
    single.deliver_together([propose(2), FetchConfiguration(0, "q")])
    sent = list(single.messenger.messages)
    (refused,) = [one for one in sent if isinstance(one, ProposalResult)]
    assert refused.refusal is ProposalRefusal.DISK_FAILED
    (answer,) = [one for one in sent if isinstance(one, ConfigurationSnapshot)]
    assert not answer.confirmed_by_quorum
    status = single.actor.replica.status()
    assert (status.role, status.leader) == (Role.FAILED, None)
    assert "no space left" in status.failure
