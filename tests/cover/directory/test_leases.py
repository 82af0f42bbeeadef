"""Check which upstreams an entry uses, whatever it hears and fails to hear."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from common.directories import LEASE_SECONDS, STEP_SECONDS, DirectoryWorld
from cowslipshelf_core.directory import (
    DirectoryConfig,
    DrainingChanged,
    MassLossBegan,
    ObserversChanged,
    SuspectArrived,
    TickElapsed,
    UnavailableReason,
    UpstreamAvailable,
    UpstreamUnavailable,
    WithdrawArrived,
)
from cowslipshelf_core.messages import Suspect, Withdraw

NAMES = ("runner-1", "runner-2", "runner-3", "runner-4", "runner-5")
CONFIG = DirectoryConfig()
SETTLED_SECONDS = CONFIG.max_flap_pause_seconds + 2 * LEASE_SECONDS
SPREAD_STEPS = 5
"""Steps over which a cut silences the upstreams, within one lease."""

names = st.sampled_from(NAMES)
steps = settings(max_examples=100, derandomize=True, deadline=None)


class DirectoryMachine(RuleBasedStateMachine):
    """Let upstreams die, freeze, restart, leave and drain among late announcements."""

    @initialize()
    def begin(self):
        self.world = DirectoryWorld(NAMES)
        self.world.take(ObserversChanged(frozenset({"entry-2"})))
        self.draining = frozenset()
        self.left = set()
        self.world.pass_time(LEASE_SECONDS)

    @rule(name=names)
    def freeze_or_thaw(self, name):
        announcer = self.world.announcers[name]
        announcer.alive = not announcer.alive

    @rule(name=names)
    def restart(self, name):
        self.world.announcers[name].restart()

    @rule(name=names)
    def leave(self, name):
        announcer = self.world.announcers[name]
        announcer.leaving = True
        self.world.hear(announcer.announce())
        self.left.add(announcer.epoch)

    @rule(name=names)
    def withdraw(self, name):
        announcer = self.world.announcers[name]
        announcer.alive = False
        announcer.leaving = True
        self.world.take(WithdrawArrived(Withdraw(name, announcer.epoch)))
        if announcer.sequence:
            self.left.add(announcer.epoch)

    @rule(draining=st.frozensets(names, max_size=2))
    def drain(self, draining):
        self.draining = draining
        self.world.take(DrainingChanged(draining))

    @rule(name=names)
    def hear_a_suspicion(self, name):
        epoch = self.world.announcers[name].epoch
        self.world.take(SuspectArrived("entry-2", Suspect(name, epoch, 9.0)))

    @precondition(lambda self: self.world.announced)
    @rule(age=st.integers(0, 200))
    def hear_a_late_announcement(self, age):
        announced = self.world.announced
        late = announced[-1 - age % len(announced)]
        announcer = self.world.announcers[late.description.upstream_id]
        before = dict(self.world.available)
        self.world.hear(late)
        is_last = late.load.sequence == announcer.sequence
        of_this_start = late.epoch == announcer.epoch
        if of_this_start and not is_last or announcer.alive and announcer.sequence:
            assert self.world.available == before

    @rule(name=names)
    def hear_a_late_farewell(self, name):
        announcer = self.world.announcers[name]
        before = dict(self.world.available)
        earlier = f"{name}-start-{announcer.starts - 1}"
        self.world.take(WithdrawArrived(Withdraw(name, earlier)))
        if announcer.sequence:
            assert self.world.available == before

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0, 20.0]))
    def pass_time(self, seconds):
        self.world.pass_time(seconds)

    @invariant()
    def who_leaves_or_drains_gets_no_new_work(self):
        in_use = self.world.available
        assert not self.draining & set(in_use)
        current = {each.epoch for each in self.world.announcers.values()}
        assert not self.left & current & set(in_use.values())

    def teardown(self):
        self.world.pass_time(SETTLED_SECONDS)
        dead = [each for each in self.world.announcers.values() if not each.alive]
        for announcer in self.world.announcers.values():
            wanted = announcer.alive and not announcer.leaving
            if wanted and announcer.name not in self.draining:
                assert self.world.available[announcer.name] == announcer.epoch
            elif len(dead) <= CONFIG.mass_loss_share * len(NAMES):
                assert announcer.name not in self.world.available


def test_the_living_are_used_and_the_dead_and_the_leaving_are_not():
    """Check the fleet that is used against the fleet that is there.

    Callers would see refusals beside idle upstreams, or attempts that die with
    upstreams long gone. Announcements come late, of the present start or of earlier
    ones; others' suspicions, departures and drains come in between.
    """
    run_state_machine_as_test(
        DirectoryMachine,
        settings=settings(
            max_examples=300, stateful_step_count=30, derandomize=True, deadline=None
        ),
    )


@steps
@given(others=st.booleans(), confirmed=st.booleans(), fleet=st.integers(1, 13))
def test_a_single_dead_upstream_is_dropped_in_the_stated_time(others, confirmed, fleet):
    """Check the times that the configuration states for one death.

    A caller's request goes to a dead upstream and must be tried again elsewhere. Each
    second for which the upstream stays in use does that to more requests.
    """
    world = DirectoryWorld(f"runner-{index}" for index in range(fleet))
    if others:
        world.take(ObserversChanged(frozenset({"entry-2"})))
    world.pass_time(LEASE_SECONDS)
    dead = world.announcers["runner-0"]
    dead.alive = False
    world.pass_time(CONFIG.max_silence_seconds(LEASE_SECONDS) + STEP_SECONDS)
    assert "runner-0" not in world.available
    assert len(world.available) == fleet - 1
    removed = UpstreamUnavailable("runner-0", UnavailableReason.REMOVED)
    assert all(effect != removed for _, effect in world.told)
    if confirmed:
        suspicion = Suspect("runner-0", dead.epoch, 1.0)
        world.pass_time(CONFIG.removal_seconds - STEP_SECONDS)
        world.take(SuspectArrived("entry-2", suspicion))
        world.pass_time(2 * STEP_SECONDS)
    else:
        world.pass_time(CONFIG.max_removal_seconds(LEASE_SECONDS) + STEP_SECONDS)
    assert any(effect == removed for _, effect in world.told)


@steps
@given(
    fleet=st.integers(2, 20),
    heard=st.integers(0, 9),
    confirmed=st.booleans(),
    cut_seconds=st.sampled_from([20.0, 100.0, 280.0]),
)
def test_a_cut_on_our_side_does_not_empty_the_fleet(
    fleet, heard, confirmed, cut_seconds
):
    """Check that most of a fleet silent at once stays in use, and is called doubtful.

    All announcements to an entry stop at once: its switch, or a flood of messages,
    drops them. The upstreams are well, but an entry that believed the leases would
    refuse every caller, and another one behind the same switch would confirm them lost.
    """
    heard = min(heard, (fleet - 1) // 2)
    world = DirectoryWorld(f"runner-{index}" for index in range(fleet))
    world.take(ObserversChanged(frozenset({"entry-2"})))
    world.pass_time(LEASE_SECONDS)
    cut_off = list(world.announcers.values())[heard:]
    known_cut = world.now + 2 * LEASE_SECONDS
    while world.now < cut_seconds:
        spread = round((world.now - LEASE_SECONDS) / STEP_SECONDS) + 1
        for announcer in cut_off[: spread * len(cut_off) // SPREAD_STEPS]:
            announcer.alive = False
            suspicion = Suspect(announcer.name, announcer.epoch, 9.0)
            if confirmed:
                world.take(SuspectArrived("entry-2", suspicion))
        world.pass_time(STEP_SECONDS)
        assert len(world.available) >= (1 if world.now < known_cut else fleet)
    reasons = {getattr(effect, "reason", None) for _, effect in world.told}
    assert UnavailableReason.REMOVED not in reasons
    assert any(isinstance(effect, MassLossBegan) for _, effect in world.told)
    doubtful = {
        effect.description.upstream_id
        for _, effect in world.told
        if isinstance(effect, UpstreamAvailable) and effect.doubtful
    }
    assert doubtful == {announcer.name for announcer in cut_off}


def test_a_living_start_gets_its_place_back_from_an_older_one():
    """Check that a late announcement, first seen, harms for one lease only.

    An entry starts and hears a sidecar. Then comes a late announcement of the sidecar's
    earlier start. Epochs are random, so the entry takes it for newer, and every
    hand-over is refused with the wrong epoch.
    """
    world = DirectoryWorld(["runner-0"])
    announcer = world.announcers["runner-0"]
    late = announcer.announce()
    announcer.restart()
    world.pass_time(LEASE_SECONDS)
    world.hear(late)
    world.pass_time(LEASE_SECONDS + CONFIG.flap_pause_seconds + STEP_SECONDS)
    assert world.available["runner-0"] == announcer.epoch


def test_a_fleet_that_comes_back_after_a_long_cut_does_so_one_by_one():
    """Check that the return after a mass loss is spread out.

    A data centre's link comes back after minutes. All its upstreams look empty in the
    same second, every entry sends its queue there, and the first of them drown.
    """
    world = DirectoryWorld(f"runner-{index}" for index in range(20))
    world.pass_time(LEASE_SECONDS)
    lost = list(world.announcers.values())[5:]
    for announcer in lost:
        announcer.alive = False
    world.pass_time(CONFIG.doubtful_seconds + 2 * LEASE_SECONDS)
    assert len(world.available) == 5
    for announcer in lost:
        announcer.alive = True
    back = []
    while len(world.available) < 20:
        world.pass_time(STEP_SECONDS)
        back.append(len(world.available))
    most = STEP_SECONDS / CONFIG.rejoin_spacing_seconds + 1
    rises = [after - before for before, after in zip(back, back[1:], strict=False)]
    assert back[0] <= 5 + most
    assert max(rises) <= most


@steps
@given(up=st.sampled_from([1.0, 3.0, 8.0]), restarts=st.booleans())
def test_an_upstream_that_flaps_comes_back_less_and_less_often(up, restarts):
    """Check that an upstream which dies again and again is used ever more rarely.

    An engine crashes under its first requests, is started anew, announces itself as the
    emptiest of all and gets the next ones. Each round some callers' attempts are lost.
    """
    world = DirectoryWorld(["runner-0", "runner-1", "runner-2"])
    world.pass_time(LEASE_SECONDS)
    flapping = world.announcers["runner-0"]
    rounds = 0
    while world.now < 200.0:
        flapping.alive = False
        world.pass_time(2 * LEASE_SECONDS)
        flapping.alive = True
        if restarts:
            flapping.restart()
        world.pass_time(up)
        rounds += 1
    returns = [
        effect
        for _, effect in world.told
        if isinstance(effect, UpstreamAvailable)
        and effect.description.upstream_id == "runner-0"
    ]
    assert len(returns) <= 5 < rounds
    world.pass_time(CONFIG.max_flap_pause_seconds + STEP_SECONDS)
    assert "runner-0" in world.available


def test_an_entry_that_stood_still_loses_no_upstream():
    """Check that a frozen process does not take its own silence for the fleet's.

    An entry is stopped for half a minute and goes on. Its first tick comes before the
    announcements in its mailbox; without care all leases have ended at that tick.
    """
    world = DirectoryWorld(NAMES)
    world.pass_time(LEASE_SECONDS)
    world.now += 30.0
    assert world.take(TickElapsed()) == []
    world.pass_time(2 * LEASE_SECONDS)
    assert set(world.available) == set(NAMES)


@steps
@given(pause=st.floats(0.0, 60.0), lived=st.integers(1, 20))
def test_a_pause_of_the_entry_takes_no_upstream_out_of_use(pause, lived):
    """An entry stands still for some seconds; its callers hear that none is left.

    The first tick after the pause comes before the announcements that waited. Gaps
    between the lease, 3 s, and the 5 s from which on they counted as a standstill ended
    the lease of a fleet's only upstream; several are kept, as in any mass loss.
    """
    world = DirectoryWorld(NAMES[:1])
    world.pass_time(LEASE_SECONDS + lived * STEP_SECONDS)
    before = set(world.available)
    assert before
    world.now += STEP_SECONDS + pause
    world.take(TickElapsed())
    assert set(world.available) == before
