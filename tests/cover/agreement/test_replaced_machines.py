"""Check that replaced machines don't count in the quorums of an open cluster."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.replaced_machines import (
    Cut,
    KillAll,
    Machines,
    Pause,
    Replace,
    Restart,
    Split,
    Wipe,
)

TARGETS = st.integers(0, 5)
DELAYS = st.sampled_from([0.5, 1.0, 2.9])
FAULTS = (
    st.builds(Cut, TARGETS, st.sampled_from([1.0, 3.5, 8.0]))
    | st.builds(Pause, TARGETS, st.sampled_from([1.0, 3.5, 8.0]))
    | st.builds(Restart, TARGETS, DELAYS, st.booleans())
    | st.builds(Wipe, TARGETS, DELAYS)
    | st.builds(Replace, TARGETS, DELAYS, st.booleans())
    | st.builds(Split, st.sampled_from([2.0, 6.0]))
    | st.builds(KillAll, DELAYS)
)
SIZES = st.sampled_from([(3, 1), (5, 2), (6, 2)])


@given(
    size=SIZES,
    seed=st.integers(0, 1000),
    faults=st.lists(st.tuples(FAULTS, st.sampled_from([0.0, 0.1, 2.0])), max_size=6),
)
@settings(max_examples=40, deadline=None, derandomize=True)
def test_tolerated_losses_in_any_order_leave_a_quorum(size, seed, faults):
    """Lost disks within the tolerance end all changes, since gone machines vote."""
    machines = Machines.started(*size, seed)
    for fault, gap in faults:
        if machines.cluster.leader() is not None:
            machines.cluster.propose(machines.cluster.leader().instance)
        machines.apply(fault)
        machines.advance(gap)
    machines.check_recovered()


@pytest.mark.parametrize("target", [0, 1])
def test_one_replaced_machine_and_one_lost_disk(target):
    """All changes end if a disk is lost seconds after a machine was replaced."""
    machines = Machines.started(3, 1, seed=0)
    machines.apply(Replace(target, 1.0, planned=True))
    machines.advance(0.1)
    machines.apply(Wipe(1, 1.0))
    machines.check_recovered()


@pytest.mark.parametrize("targets", [(1, 1), (0, 0), (0, 1)])
def test_two_replaced_machines_and_two_lost_disks(targets):
    """Two machines that are gone at the same time vote for good."""
    machines = Machines.started(6, 2, seed=0)
    for target in targets:
        machines.apply(Replace(target, 1.0, planned=False))
        machines.advance(0.1)
    for target in (2, 3):
        machines.apply(Wipe(target, 1.5))
        machines.advance(0.1)
    machines.check_recovered()


def test_a_successor_lost_before_it_votes_keeps_no_other_out():
    """A learner that is gone for good blocks every later change of membership."""
    machines = Machines.started(3, 1, seed=0)
    machines.cluster.crash(machines.choose(1))
    machines.running.remove("entry-1")
    machines.add()
    lost = machines.running.pop()
    while not machines.learners():
        machines.advance(0.1)
    machines.cluster.crash(lost)
    machines.add()
    machines.check_recovered()


@pytest.mark.parametrize("seconds", [1.0, 3.5, 8.0])
def test_a_voter_that_is_only_cut_off_votes_soon_after(seconds):
    """A cut that is over costs a machine its vote, and the cluster its tolerance."""
    machines = Machines.started(6, 2, seed=0)
    machines.apply(Cut(2, seconds))
    machines.advance(seconds + 2.5)
    assert machines.voters() == set(machines.running)


def test_voters_that_are_cut_off_stay_where_none_can_be_spared():
    """The survivors of a cut shrink their quorum until one lost disk ends it."""
    machines = Machines.started(5, 2, seed=0)
    for target in (1, 2):
        machines.apply(Cut(target, 20.0))
    machines.advance(15.0)
    assert machines.voters() == set(machines.running)


@pytest.mark.parametrize(("size", "tolerance"), [(3, 1), (4, 1), (6, 2)])
def test_changes_are_taken_all_through_a_rolling_restart(size, tolerance):
    """Planned restarts cost machines their votes, one after the other."""
    machines = Machines.started(size, tolerance, seed=0)
    for _ in range(size):
        machines.apply(Restart(1, 2.0, planned=True))
        machines.running.append(machines.running.pop(1))
        machines.cluster.run_until(lambda: machines.cluster.leader() is not None)
        machines.cluster.acknowledge()
    machines.check_recovered()


@given(seed=st.integers(0, 1000), size=SIZES, seconds=st.sampled_from([3.5, 8.0, 20.0]))
@settings(max_examples=20, deadline=None, derandomize=True)
def test_no_change_is_acknowledged_on_less_than_a_quorum_of_all(seed, size, seconds):
    """Removed voters let fewer copies of a change count than the tolerance needs."""
    machines = Machines.started(*size, seed)
    for target in range(size[1]):
        machines.apply(Cut(target + 1, seconds))
    machines.advance(seconds / 2)
    if machines.cluster.leader() is not None:
        accepted = machines.cluster.acknowledge()
        holders = [
            node
            for node in machines.cluster.nodes.values()
            if any(entry.proposal_id == accepted for entry in node.disk.load().entries)
        ]
        assert len(holders) > size[1]
    machines.check_recovered()
