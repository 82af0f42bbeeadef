"""Drive the router with random sequences of events and check its invariants."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    multiple,
    rule,
)

from common.routing import (
    MEMORY,
    MODEL,
    START,
    asked,
    available,
    check_spread,
    configured,
    load,
)
from cowslipshelf_core.errors import Refusal, RefusalCode
from cowslipshelf_core.routing import (
    AttemptEnded,
    AttemptOutcome,
    ChosenUpstream,
    FirstTokenSeen,
    HandOverAccepted,
    HandOverRefused,
    LoadUpdated,
    PlacementWithdrawn,
    Router,
    RouterConfig,
    TickElapsed,
    UpstreamUnavailable,
)

NAMES = st.sampled_from([f"upstream-{n}" for n in range(6)])
CUSTOMERS = ("factory", "mill", "press")
MOST_CONCURRENT = 12
REPORTS = st.builds(
    lambda running, decoding, waiting, reserved: {
        "running": running + decoding,
        "decoding": decoding,
        "prefill_tokens": waiting,
        "reserved_tokens": reserved,
    },
    st.integers(0, 20),
    st.integers(0, 20),
    st.integers(0, 2_000_000),
    st.integers(0, MEMORY),
)
PROMPTS = st.sampled_from([1_000, 7_000, 30_000, 90_000, 150_000, 450_000, 900_000])


class RouterMachine(RuleBasedStateMachine):
    """Send events of directory, sidecars and callers to a router and to its twin.

    The twin gets the same events and must give the same answers.
    """

    placed = Bundle("placed")

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        self.router = Router.from_config(RouterConfig())
        self.twin = Router.from_config(RouterConfig())
        self.random, self.twin_random = Random(1), Random(1)
        self.present: dict[str, dict] = {}
        """Epoch and last report of each available upstream."""
        self.draining: tuple[str, ...] = ()
        self.open: dict[str, tuple] = {}
        """Placement requests without an answer, each with the time of its deadline."""
        self.running: dict[str, tuple[str, str, int]] = {}
        """Attempts that have not ended: customer, upstream and memory in tokens."""
        self.since_report: dict[str, set[str]] = {}
        self.numbers = 0
        self.version = 0
        self.new: list[str] = []

    def feed(self, event: object) -> None:
        answers = self.router.handle(event, self.now, self.random)
        assert answers == self.twin.handle(event, self.now, self.twin_random)
        self.new = []
        for answered in answers:
            request, _ = self.open.pop(answered.placement_id)
            match answered.answer:
                case ChosenUpstream():
                    self.check_chosen(request, answered.answer)
                case Refusal(code=code, retry_after_seconds=retry_after):
                    assert code is RefusalCode.NOT_RUN
                    assert retry_after is None or retry_after > 0.0

    def check_chosen(self, request, answer: ChosenUpstream) -> None:
        facts = request.facts
        name = answer.upstream_id
        assert name in self.present
        assert name not in self.draining
        assert name not in request.excluded
        assert answer.epoch == self.present[name]["epoch"]
        need = facts.prompt_tokens + facts.max_output_tokens
        if need > MEMORY:
            # It waits for memory at the sidecars, so free memory is not checked here.
            check_spread(answer, need)
            for part in answer.helpers:
                assert part.upstream_id not in (*self.draining, *request.excluded)
                assert part.epoch == self.present[part.upstream_id]["epoch"]
            need -= answer.from_token
            self.count(facts, name, need)
            return
        added = sum(
            self.running[a][2]
            for a in self.since_report[name]
            if a in self.running and self.running[a][1] == name
        )
        report = self.present[name]["load"]
        assert report.reserved_tokens + added + need <= report.memory_tokens
        self.count(facts, name, need)

    def count(self, facts, name, need) -> None:
        self.running[facts.attempt_id] = (facts.customer, name, need)
        self.since_report[name].add(facts.attempt_id)
        self.new.append(facts.attempt_id)

    @initialize()
    def configure_first(self) -> None:
        self.configure(())

    @rule(draining=st.sets(NAMES, max_size=2))
    def configure(self, draining) -> None:
        self.version += 1
        self.draining = tuple(sorted(draining))
        weights = dict(zip(CUSTOMERS, (1, 2, 4), strict=True))
        self.feed(configured(self.version, weights, MOST_CONCURRENT, self.draining))

    @rule(target=placed, name=NAMES, report=REPORTS, restarted=st.booleans())
    def arrive(self, name, report, restarted):
        before = self.present.get(name)
        self.numbers += 1
        epoch = f"{self.numbers}" if restarted or before is None else before["epoch"]
        event = available(name, load(self.numbers, **report), epoch)
        self.present[name] = {"epoch": epoch, "load": event.load}
        self.since_report[name] = set()
        self.feed(event)
        return multiple(*self.new)

    @rule(name=NAMES)
    def leave(self, name) -> None:
        self.present.pop(name, None)
        self.feed(UpstreamUnavailable(name, "lease expired"))

    @rule(target=placed, name=NAMES, report=REPORTS, late=st.booleans())
    def report(self, name, report, late):
        known = self.present.get(name)
        epoch = known["epoch"] if known and not late else "of another start"
        self.numbers += 1
        event = LoadUpdated(name, epoch, load(self.numbers, **report))
        if known and not late:
            known["load"] = event.load
            self.since_report[name] = set()
        self.feed(event)
        return multiple(*self.new)

    @rule(
        target=placed,
        prompt=PROMPTS,
        customer=st.sampled_from(CUSTOMERS),
        deadline=st.sampled_from([-1.0, 0.5, 5.0, 30.0, 120.0]),
        excluded=st.frozensets(NAMES, max_size=3),
        model=st.sampled_from([MODEL, MODEL, MODEL, "unknown"]),
        count=st.integers(1, 8),
    )
    def ask(self, prompt, customer, deadline, excluded, model, count):
        all_new = []
        for _ in range(count):
            self.numbers += 1
            request = asked(self.numbers, prompt, customer, deadline, excluded, model)
            self.open[request.placement_id] = (request, self.now + deadline)
            self.feed(request)
            all_new += self.new
        return multiple(*all_new)

    @rule(choice=st.integers(0, 1_000))
    def withdraw(self, choice) -> None:
        if self.open:
            placement_id = sorted(self.open)[choice % len(self.open)]
            del self.open[placement_id]
            self.feed(PlacementWithdrawn(placement_id))

    @rule(attempt=placed)
    def accept(self, attempt) -> None:
        self.feed(HandOverAccepted(attempt))

    @rule(attempt=consumes(placed), report=REPORTS)
    def refuse(self, attempt, report) -> None:
        self.numbers += 1
        told = load(self.numbers, **report)
        ended = self.running.pop(attempt, None)
        if ended is not None and ended[1] in self.present:
            self.present[ended[1]]["load"] = told
            self.since_report[ended[1]] = set()
        self.feed(HandOverRefused(attempt, told))

    @rule(attempt=placed, seconds=st.sampled_from([0.01, 0.3, 3.0, 60.0]))
    def first_token(self, attempt, seconds) -> None:
        self.feed(FirstTokenSeen(attempt, seconds))

    @rule(
        target=placed,
        attempt=consumes(placed),
        outcome=st.sampled_from(list(AttemptOutcome)),
    )
    def end(self, attempt, outcome):
        self.running.pop(attempt, None)
        self.feed(AttemptEnded(attempt, outcome))
        return multiple(*self.new)

    @rule(target=placed, seconds=st.sampled_from([0.05, 0.3, 1.0, 10.0, 40.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.feed(TickElapsed())
        return multiple(*self.new)

    @invariant()
    def no_request_outlives_its_deadline(self) -> None:
        assert all(deadline > self.now for _, deadline in self.open.values())

    @invariant()
    def the_router_queues_just_the_unanswered_requests(self) -> None:
        assert set(self.router.queues.requests) == set(self.open)

    @invariant()
    def no_customer_exceeds_its_limit(self) -> None:
        for customer in CUSTOMERS:
            running = self.router.tracker.running_per_customer[customer]
            assert (
                running + self.router.queues.queued_per_customer[customer]
                <= MOST_CONCURRENT
            )

    @invariant()
    def at_most_the_cap_is_ejected(self) -> None:
        views = self.router.fleet.views.values()
        ejected = sum(view.ejected_until is not None for view in views)
        assert ejected <= max(1, len(self.present) // 5)

    @invariant()
    def queues_keep_their_limits(self) -> None:
        for key, queue in self.router.queues.by_key.items():
            group = self.router.fleet.groups[key.group]
            limits = self.router.config.limits_of(key.prompt_class)
            assert queue.seconds <= limits.max_queued_seconds * group.capacity + 1e-6

    def teardown(self) -> None:
        for _ in range(3):
            self.now += 60.0
            self.feed(TickElapsed())
        assert not self.open


TestRouterMachine = RouterMachine.TestCase
TestRouterMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
