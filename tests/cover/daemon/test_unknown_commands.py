"""Check what a replica does with commands of a newer version."""

import pytest

from common.single_replica import SingleReplica
from cowslipshelf_core.agreement import Entry, EntryKind, Propose
from cowslipshelf_core.control import ControlCodecError

NEWER_COMMAND = b"\x92\xabNewerThings\x01"


def test_a_replica_stops_rather_than_skip_a_command_that_others_apply():
    """Guards against replicas whose states diverge.

    A leader of a newer version commits a command. An older replica that skipped it
    would go on with a different state, answer operators differently, and later send
    that state to others as a snapshot.
    """
    single = SingleReplica()
    entry = Entry(9, 9, 0.0, EntryKind.COMMAND, NEWER_COMMAND, "p")
    with pytest.raises(ControlCodecError):
        single.actor.apply(9, entry)


def test_a_leader_puts_no_command_into_the_log_that_it_cannot_read():
    """Guards against a crash loop of all replicas, which cannot decode their log."""
    single = SingleReplica()
    before = single.actor.replica.status().last_index
    single.deliver_together([Propose("p", NEWER_COMMAND)])
    assert single.actor.replica.status().last_index == before
    assert not single.actor.proposers
