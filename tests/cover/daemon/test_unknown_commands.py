"""Check what a replica does with commands of another version."""

import pytest

from common.single_replica import SingleReplica
from cowslipshelf_core.agreement import Entry, EntryKind, Propose
from cowslipshelf_core.control import ControlCodecError

NEWER_COMMAND = b"\x92\xabNewerThings\x01"


def test_a_replica_stops_rather_than_skip_a_command_that_others_apply():
    """Operators see two answers to one question, depending on the entry they ask.

    A leader of a newer version committed a command; an older replica skipped it, went
    on with another state, and later sent that state on as a snapshot.
    """
    single = SingleReplica()
    entry = Entry(9, 9, 0.0, EntryKind.COMMAND, NEWER_COMMAND, "p")
    with pytest.raises(ControlCodecError):
        single.actor.apply(9, entry)


def test_a_leader_puts_no_command_into_the_log_that_it_cannot_read():
    """All replicas end at once, again and again: the log holds bytes nobody reads."""
    single = SingleReplica()
    before = single.actor.replica.status().last_index
    single.deliver_together([Propose("p", NEWER_COMMAND)])
    assert single.actor.replica.status().last_index == before
    assert not single.actor.proposers
