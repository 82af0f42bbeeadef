"""Check which evacuations gateways assume, whatever happens to messages."""

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.control import ControlState, SetEvacuation
from cowslipshelf_core.gateway import KnownEvacuations

GATEWAYS = 3
ORDERS = st.tuples(st.sampled_from("abc"), st.booleans())
DELIVERIES = st.tuples(st.integers(0, GATEWAYS - 1), st.integers(-GATEWAYS, 30))


@given(
    orders=st.lists(ORDERS, min_size=1, max_size=12),
    deliveries=st.lists(DELIVERIES, max_size=40),
)
def test_no_order_loss_or_duplication_puts_a_lower_revision_in_force(
    orders, deliveries
):
    """Guards against a late message that undoes an acknowledged order.

    Each gateway hears any replica's report or another gateway's, in any order, any
    number of times or never.
    """
    replica, history = ControlState(), []
    for index, (name, evacuated) in enumerate(orders, 1):
        known = replica.evacuations.state.revision
        replica.apply(SetEvacuation(name, evacuated, known), index, 0.0)
        history.append(replica.evacuations.state)
    gateways = [KnownEvacuations() for _ in range(GATEWAYS)]
    for receiver, source in deliveries:
        gateway, before = gateways[receiver], gateways[receiver].state
        reported = (
            gateways[source].state if source < 0 else history[source % len(history)]
        )
        newer = gateway.merge(reported)
        assert newer is (reported.revision > before.revision)
        assert gateway.state == max(before, reported, key=lambda each: each.revision)
        assert gateway.data_centres == frozenset(gateway.state.data_centres)
    for each in gateways:
        each.merge(history[-1])
        assert each.state == replica.evacuations.state
