"""Play the load of many short prompts before long ones, and check what callers get."""

from cowslipshelf_emulator.internal.ablation import ABLATIONS, mechanism_disabled
from cowslipshelf_emulator.internal.fleet import Delays, build
from cowslipshelf_emulator.internal.policies import LeastHarm
from cowslipshelf_emulator.loads import NILEGATE_SHIFTED, draw_arrivals

SECONDS, LOAD, SEEDS = 40.0, 1.2, (1, 2, 3, 4)
LATE_GOSSIP = Delays(gossip=0.03)
"""Gateways with little processor time pass on what they place late."""


def unserved_requests() -> int:
    """Return how many requests end without a whole answer, over all seeds."""
    unserved = 0
    for seed in SEEDS:
        arrivals = draw_arrivals(NILEGATE_SHIFTED, SECONDS, LOAD, seed)
        fleet = build(NILEGATE_SHIFTED, LeastHarm, seed)
        fleet.delays = LATE_GOSSIP
        unserved += sum(each.end != "answered" for each in fleet.run(arrivals))
    return unserved


def test_fewer_callers_leave_when_an_unserved_request_costs_more_than_a_late_one():
    """Guards against long prompts whose passes make dozens of callers leave.

    They come after a peak of short prompts, which still decode on most engines.
    """
    unserved = unserved_requests()
    with mechanism_disabled(ABLATIONS["cost of an unserved request"]):
        assert 2 * unserved < unserved_requests()
