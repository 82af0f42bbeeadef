"""Check which upstreams an entry uses under lost, late and missing announcements."""

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

from common.directories import LEASE_SECONDS, STEP_SECONDS, DirectorySimulation
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
SETTLING_SECONDS = CONFIG.max_flap_pause_seconds + 2 * LEASE_SECONDS
SPREAD_STEPS = 5
"""Steps within one lease over which a network fault silences the upstreams."""

names = st.sampled_from(NAMES)
few_examples = settings(max_examples=100, derandomize=True, deadline=None)


class DirectoryMachine(RuleBasedStateMachine):
    """Crash, freeze, restart, remove and drain upstreams, with late announcements."""

    @initialize()
    def begin(self):
        self.simulation = DirectorySimulation(NAMES)
        self.simulation.handle(ObserversChanged(frozenset({"entry-2"})))
        self.draining = frozenset()
        self.left = set()
        self.simulation.pass_time(LEASE_SECONDS)

    @rule(name=names)
    def freeze_or_resume(self, name):
        announcer = self.simulation.announcers[name]
        announcer.alive = not announcer.alive

    @rule(name=names)
    def restart(self, name):
        self.simulation.announcers[name].restart()

    @rule(name=names)
    def leave(self, name):
        announcer = self.simulation.announcers[name]
        announcer.leaving = True
        self.simulation.receive(announcer.announce())
        self.left.add(announcer.epoch)

    @rule(name=names)
    def withdraw(self, name):
        announcer = self.simulation.announcers[name]
        announcer.alive = False
        announcer.leaving = True
        self.simulation.handle(WithdrawArrived(Withdraw(name, announcer.epoch)))
        if announcer.sequence:
            self.left.add(announcer.epoch)

    @rule(draining=st.frozensets(names, max_size=2))
    def drain(self, draining):
        self.draining = draining
        self.simulation.handle(DrainingChanged(draining))

    @rule(name=names)
    def receive_a_suspicion(self, name):
        epoch = self.simulation.announcers[name].epoch
        self.simulation.handle(SuspectArrived("entry-2", Suspect(name, epoch, 9.0)))

    @precondition(lambda self: self.simulation.announced)
    @rule(age=st.integers(0, 200))
    def receive_a_late_announcement(self, age):
        announced = self.simulation.announced
        late = announced[-1 - age % len(announced)]
        announcer = self.simulation.announcers[late.description.upstream_id]
        before = dict(self.simulation.available)
        self.simulation.receive(late)
        is_last = late.load.sequence == announcer.sequence
        of_this_start = late.epoch == announcer.epoch
        if of_this_start and not is_last or announcer.alive and announcer.sequence:
            assert self.simulation.available == before

    @rule(name=names)
    def receive_a_late_withdrawal(self, name):
        announcer = self.simulation.announcers[name]
        before = dict(self.simulation.available)
        earlier = f"{name}-start-{announcer.starts - 1}"
        self.simulation.handle(WithdrawArrived(Withdraw(name, earlier)))
        if announcer.sequence:
            assert self.simulation.available == before

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0, 20.0]))
    def pass_time(self, seconds):
        self.simulation.pass_time(seconds)

    @invariant()
    def leaving_or_draining_upstreams_are_not_in_use(self):
        in_use = self.simulation.available
        assert not self.draining & set(in_use)
        current = {each.epoch for each in self.simulation.announcers.values()}
        assert not self.left & current & set(in_use.values())

    def teardown(self):
        self.simulation.pass_time(SETTLING_SECONDS)
        dead = [each for each in self.simulation.announcers.values() if not each.alive]
        for announcer in self.simulation.announcers.values():
            wanted = announcer.alive and not announcer.leaving
            if wanted and announcer.name not in self.draining:
                assert self.simulation.available[announcer.name] == announcer.epoch
            elif len(dead) <= CONFIG.mass_loss_share * len(NAMES):
                assert announcer.name not in self.simulation.available


def test_the_living_are_used_and_the_dead_and_the_leaving_are_not():
    """Guards against idle upstreams that are not used, and dead ones that are.

    Announcements of the current start or of earlier ones arrive late, mixed with
    suspicions of other entries, withdrawals and drains. Callers would get refusals in
    spite of idle upstreams, or their attempts would fail at dead ones.
    """
    run_state_machine_as_test(
        DirectoryMachine,
        settings=settings(
            max_examples=300, stateful_step_count=30, derandomize=True, deadline=None
        ),
    )


@few_examples
@given(others=st.booleans(), confirmed=st.booleans(), fleet=st.integers(1, 13))
def test_a_single_dead_upstream_is_dropped_in_the_stated_time(others, confirmed, fleet):
    """Guards against a dead upstream that stays in use longer than configured.

    Each request that is sent to a dead upstream has to be retried elsewhere.
    """
    simulation = DirectorySimulation(f"runner-{index}" for index in range(fleet))
    if others:
        simulation.handle(ObserversChanged(frozenset({"entry-2"})))
    simulation.pass_time(LEASE_SECONDS)
    dead = simulation.announcers["runner-0"]
    dead.alive = False
    simulation.pass_time(CONFIG.max_silence_seconds(LEASE_SECONDS) + STEP_SECONDS)
    assert "runner-0" not in simulation.available
    assert len(simulation.available) == fleet - 1
    removed = UpstreamUnavailable("runner-0", UnavailableReason.REMOVED)
    assert all(effect != removed for _, effect in simulation.effects)
    if confirmed:
        suspicion = Suspect("runner-0", dead.epoch, 1.0)
        simulation.pass_time(CONFIG.removal_seconds - STEP_SECONDS)
        simulation.handle(SuspectArrived("entry-2", suspicion))
        simulation.pass_time(2 * STEP_SECONDS)
    else:
        simulation.pass_time(CONFIG.max_removal_seconds(LEASE_SECONDS) + STEP_SECONDS)
    assert any(effect == removed for _, effect in simulation.effects)


@few_examples
@given(
    fleet=st.integers(2, 20),
    heard=st.integers(0, 9),
    confirmed=st.booleans(),
    fault_seconds=st.sampled_from([20.0, 100.0, 280.0]),
)
def test_a_network_fault_at_the_entry_does_not_empty_the_fleet(
    fleet, heard, confirmed, fault_seconds
):
    """Guards against an entry that drops most of a healthy fleet at once.

    All announcements to an entry stop, because its switch or an overload drops them.
    With leases alone, the entry would refuse every request, and another entry behind
    the same switch would confirm the suspicions. The upstreams must stay in use and be
    published as doubtful.
    """
    heard = min(heard, (fleet - 1) // 2)
    simulation = DirectorySimulation(f"runner-{index}" for index in range(fleet))
    simulation.handle(ObserversChanged(frozenset({"entry-2"})))
    simulation.pass_time(LEASE_SECONDS)
    unheard = list(simulation.announcers.values())[heard:]
    known_at = simulation.now + 2 * LEASE_SECONDS
    while simulation.now < fault_seconds:
        spread = round((simulation.now - LEASE_SECONDS) / STEP_SECONDS) + 1
        for announcer in unheard[: spread * len(unheard) // SPREAD_STEPS]:
            announcer.alive = False
            suspicion = Suspect(announcer.name, announcer.epoch, 9.0)
            if confirmed:
                simulation.handle(SuspectArrived("entry-2", suspicion))
        simulation.pass_time(STEP_SECONDS)
        assert len(simulation.available) >= (1 if simulation.now < known_at else fleet)
    reasons = {getattr(effect, "reason", None) for _, effect in simulation.effects}
    assert UnavailableReason.REMOVED not in reasons
    assert any(isinstance(effect, MassLossBegan) for _, effect in simulation.effects)
    doubtful = {
        effect.description.upstream_id
        for _, effect in simulation.effects
        if isinstance(effect, UpstreamAvailable) and effect.doubtful
    }
    assert doubtful == {announcer.name for announcer in unheard}


def test_a_living_start_gets_its_place_back_from_an_older_one():
    """Guards against a late announcement that hides a live upstream for good.

    An entry starts and hears a sidecar. Then a late announcement of the sidecar's
    earlier start arrives. Epochs are random, so the entry considers it newer, and every
    hand-over is refused with the wrong epoch. This may last for one lease only.
    """
    simulation = DirectorySimulation(["runner-0"])
    announcer = simulation.announcers["runner-0"]
    late = announcer.announce()
    announcer.restart()
    simulation.pass_time(LEASE_SECONDS)
    simulation.receive(late)
    simulation.pass_time(LEASE_SECONDS + CONFIG.flap_pause_seconds + STEP_SECONDS)
    assert simulation.available["runner-0"] == announcer.epoch


def test_a_fleet_that_comes_back_after_a_long_outage_does_so_one_by_one():
    """Guards against overload when most of a fleet comes back at once.

    The link to a data centre recovers after minutes. All its upstreams look idle at the
    same time, every entry sends its queued requests there, and the first upstreams are
    overloaded. So the returns must be spaced out.
    """
    simulation = DirectorySimulation(f"runner-{index}" for index in range(20))
    simulation.pass_time(LEASE_SECONDS)
    lost = list(simulation.announcers.values())[5:]
    for announcer in lost:
        announcer.alive = False
    simulation.pass_time(CONFIG.doubtful_seconds + 2 * LEASE_SECONDS)
    assert len(simulation.available) == 5
    for announcer in lost:
        announcer.alive = True
    back = []
    while len(simulation.available) < 20:
        simulation.pass_time(STEP_SECONDS)
        back.append(len(simulation.available))
    most = STEP_SECONDS / CONFIG.rejoin_spacing_seconds + 1
    rises = [after - before for before, after in zip(back, back[1:], strict=False)]
    assert back[0] <= 5 + most
    assert max(rises) <= most


@few_examples
@given(up=st.sampled_from([1.0, 3.0, 8.0]), restarts=st.booleans())
def test_an_upstream_that_flaps_comes_back_less_and_less_often(up, restarts):
    """Guards against requests that are lost at an upstream in a crash loop.

    An engine crashes on its first requests, restarts, announces the lowest load of all
    and receives the next ones. Some attempts fail each time.
    """
    simulation = DirectorySimulation(["runner-0", "runner-1", "runner-2"])
    simulation.pass_time(LEASE_SECONDS)
    flapping = simulation.announcers["runner-0"]
    rounds = 0
    while simulation.now < 200.0:
        flapping.alive = False
        simulation.pass_time(2 * LEASE_SECONDS)
        flapping.alive = True
        if restarts:
            flapping.restart()
        simulation.pass_time(up)
        rounds += 1
    returns = [
        effect
        for _, effect in simulation.effects
        if isinstance(effect, UpstreamAvailable)
        and effect.description.upstream_id == "runner-0"
    ]
    assert len(returns) <= 5 < rounds
    simulation.pass_time(CONFIG.max_flap_pause_seconds + STEP_SECONDS)
    assert "runner-0" in simulation.available


def test_an_entry_that_stood_still_loses_no_upstream():
    """Guards against an entry that drops all upstreams after a pause of its own.

    An entry is stopped for half a minute and resumes. Its first tick runs before the
    announcements in its mailbox are read, when all leases seem to have ended.
    """
    simulation = DirectorySimulation(NAMES)
    simulation.pass_time(LEASE_SECONDS)
    simulation.now += 30.0
    assert simulation.handle(TickElapsed()) == []
    simulation.pass_time(2 * LEASE_SECONDS)
    assert set(simulation.available) == set(NAMES)


@few_examples
@given(pause=st.floats(0.0, 60.0), lived=st.integers(1, 20))
def test_a_pause_of_the_entry_takes_no_upstream_out_of_use(pause, lived):
    """Guards against refusals for lack of an upstream after a short pause of an entry.

    The first tick after the pause runs before the waiting announcements are read. When
    only gaps of more than 5 s counted as a pause, gaps between the lease of 3 s and 5 s
    ended the lease of a fleet's only upstream. Several upstreams stay in use, as in any
    mass loss.
    """
    simulation = DirectorySimulation(NAMES[:1])
    simulation.pass_time(LEASE_SECONDS + lived * STEP_SECONDS)
    before = set(simulation.available)
    assert before
    simulation.now += STEP_SECONDS + pause
    simulation.handle(TickElapsed())
    assert set(simulation.available) == before
