"""Check that commands reach the leader, and that reported outcomes are true."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cowslipshelf_core.agreement import (
    CommandSubmitted,
    LeaderSeen,
    ProposalAnswered,
    ProposalClient,
    ProposalClientConfig,
    ProposalFailed,
    ProposalRefusal,
    ProposalResult,
    ProposalResultArrived,
    Propose,
    ReplicasSeen,
    SendTo,
    TickElapsed,
)

REPLICAS = ("entry-0", "entry-1", "entry-2")
POSITIONS = st.integers(0, 1000)
DEADLINE_SECONDS = 8.0
DEFINITE = [r for r in ProposalRefusal if r is not ProposalRefusal.OUTCOME_UNKNOWN]


class ProposalClientMachine(RuleBasedStateMachine):
    """Simulate replicas that accept, refuse or don't answer."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.random = Random(seed)
        config = ProposalClientConfig(REPLICAS)
        self.client = ProposalClient.from_config(config)
        self.now = 0.0
        self.asked = []
        """Unanswered copies, as (replica, proposal)."""
        self.answers = []
        self.deadlines = {}
        self.accepted = set()
        self.ended = {}

    def handle(self, event):
        for effect in self.client.handle(event, self.now, self.random):
            match effect:
                case SendTo(replica, message):
                    assert replica in REPLICAS
                    assert self.now < self.deadlines[message.proposal_id]
                    self.asked.append((replica, message.proposal_id))
                case ProposalAnswered(proposal_id, index, _):
                    self.end(proposal_id, effect)
                    assert index > 0
                case ProposalFailed(proposal_id, may_take_effect, _, _):
                    self.end(proposal_id, effect)
                    under_way = {asked for _, asked in self.asked}
                    possible = self.accepted | under_way
                    assert may_take_effect or proposal_id not in possible

    def end(self, proposal_id, effect):
        assert proposal_id not in self.ended
        self.ended[proposal_id] = effect

    @rule()
    def submit(self):
        proposal_id = f"proposal-{len(self.deadlines)}"
        self.deadlines[proposal_id] = self.now + DEADLINE_SECONDS
        self.handle(
            CommandSubmitted(proposal_id, b"command", self.now + DEADLINE_SECONDS)
        )

    @precondition(lambda self: self.asked)
    @rule(position=POSITIONS)
    def accept(self, position):
        replica, proposal_id = self.asked.pop(position % len(self.asked))
        self.accepted.add(proposal_id)
        result = ProposalResult(proposal_id, len(self.accepted), b"outcome")
        self.answers.append(ProposalResultArrived(replica, result))

    @precondition(lambda self: self.asked)
    @rule(
        position=POSITIONS,
        refusal=st.sampled_from(DEFINITE),
        leader=st.none() | st.sampled_from(REPLICAS),
    )
    def refuse(self, position, refusal, leader):
        replica, proposal_id = self.asked.pop(position % len(self.asked))
        result = ProposalResult(proposal_id, 0, b"", refusal, leader)
        self.answers.append(ProposalResultArrived(replica, result))

    @precondition(lambda self: self.asked)
    @rule(position=POSITIONS)
    def lose_track(self, position):
        replica, proposal_id = self.asked.pop(position % len(self.asked))
        self.accepted.add(proposal_id)
        unknown = ProposalRefusal.OUTCOME_UNKNOWN
        result = ProposalResult(proposal_id, 0, b"", unknown)
        self.answers.append(ProposalResultArrived(replica, result))

    @precondition(lambda self: self.answers)
    @rule(position=POSITIONS, keep=st.booleans())
    def answer(self, position, keep):
        position %= len(self.answers)
        answer = self.answers[position] if keep else self.answers.pop(position)
        self.handle(answer)

    @rule(leader=st.none() | st.sampled_from(REPLICAS))
    def see_leader(self, leader):
        self.handle(LeaderSeen(leader))

    @rule(replicas=st.sets(st.sampled_from(REPLICAS)))
    def see_replicas(self, replicas):
        self.handle(ReplicasSeen(tuple(sorted(replicas))))

    @rule(seconds=st.sampled_from([0.05, 0.3, 2.0]))
    def wait(self, seconds):
        self.now += seconds
        self.handle(TickElapsed())

    def teardown(self):
        if hasattr(self, "client"):
            self.now += DEADLINE_SECONDS
            self.handle(TickElapsed())
            assert self.ended.keys() == self.deadlines.keys()


TestProposalClient = ProposalClientMachine.TestCase
TestProposalClient.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


def test_a_command_finds_the_leader_whoever_is_asked_first():
    """A change takes seconds because replicas are asked one after another."""
    for seed in range(20):
        client = ProposalClient.from_config(ProposalClientConfig(REPLICAS))
        random = Random(seed)
        sent = client.handle(CommandSubmitted("p", b"", 5.0), 0.0, random)
        hops = 1
        while sent[0].instance != "entry-2":
            refusal = ProposalRefusal.NOT_LEADER
            result = ProposalResult("p", 0, b"", refusal, "entry-2")
            event = ProposalResultArrived(sent[0].instance, result)
            sent = client.handle(event, 0.0, random)
            hops += 1
        assert hops <= 2


def test_a_late_refusal_brings_no_further_copy():
    """An overloaded leader gets several copies of each command.

    A replica doesn't answer in time, so another one is asked. Then the refusal of the
    first arrives, while the second is still working.
    """
    client = ProposalClient.from_config(ProposalClientConfig(REPLICAS))
    random = Random(0)
    first = client.handle(CommandSubmitted("p", b"", 5.0), 0.0, random)[0].instance
    second = client.handle(TickElapsed(), 1.0, random)[0].instance
    assert first != second
    result = ProposalResult("p", 0, b"", ProposalRefusal.NO_QUORUM)
    assert client.handle(ProposalResultArrived(first, result), 1.1, random) == []
    assert client.handle(TickElapsed(), 1.9, random) == []


def test_a_new_leader_is_asked_at_once_for_what_the_former_one_left_unanswered():
    """The confirmation of an operator takes a second longer than the election.

    The command was sent to a leader that crashed. The client knows the new leader, but
    keeps waiting for the answer of the old one.
    """
    random = Random(1)
    client = ProposalClient.from_config(ProposalClientConfig(REPLICAS))
    client.handle(LeaderSeen("entry-0"), 0.0, random)
    client.handle(CommandSubmitted("confirm", b"", DEADLINE_SECONDS), 0.0, random)
    client.handle(LeaderSeen(None), 0.1, random)
    (sent,) = client.handle(LeaderSeen("entry-1"), 0.2, random)
    assert sent == SendTo("entry-1", Propose("confirm", b""))
    assert not client.handle(LeaderSeen("entry-1"), 0.3, random)


def test_a_large_command_is_given_the_time_that_it_travels():
    """A large change is sent again and again, and saturates the link.

    Its transfer takes longer than the time after which another replica is asked.
    """
    pace = ProposalClientConfig(REPLICAS).min_bytes_per_second
    client = ProposalClient.from_config(ProposalClientConfig(REPLICAS))
    random = Random(0)
    client.handle(LeaderSeen("entry-0"), 0.0, random)
    large = bytes(int(2 * pace))
    client.handle(CommandSubmitted("p", large, 60.0), 0.0, random)
    assert client.handle(TickElapsed(), 2.9, random) == []
    assert client.handle(TickElapsed(), 3.1, random) != []
