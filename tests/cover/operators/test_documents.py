"""Check that no document, however unusual, causes an internal error."""

import io
import json

from hypothesis import example, given, settings
from hypothesis import strategies as st

from common.operators import OPERATOR_KEY, StateHandler
from cowslipshelf_core.control import ControlState, hash_key
from cowslipshelf_operators import OperatorKey
from cowslipshelf_operators.internal.application import OperatorsApplication

NUMBERS = st.sampled_from([0, 1, -1, 2**31, 2**63, 2**64, 10**30, 1e308, 0.5])
TEXTS = st.sampled_from(["wide", "scribe", "", "é", "a" * 200, "\x00", "\ud800"])
NAMES = st.lists(TEXTS, max_size=2)
ANY_VALUE = NUMBERS | TEXTS | NAMES | st.none()


def entries(**fields: st.SearchStrategy) -> st.SearchStrategy:
    """Build lists of entries, any field of which may be missing or of another type."""
    return st.lists(
        st.fixed_dictionaries(
            {}, optional={name: value | ANY_VALUE for name, value in fields.items()}
        ),
        max_size=2,
    )


MODELS = entries(name=TEXTS, version=TEXTS, context_tokens=NUMBERS)
SERVICES = entries(
    name=TEXTS,
    kind=st.sampled_from(["model", "plain"]),
    models=NAMES,
    default_deadline_seconds=NUMBERS,
)
CUSTOMERS = entries(
    name=TEXTS, services=NAMES, key=st.just(OPERATOR_KEY), weight=NUMBERS
)
CHANGES = st.fixed_dictionaries(
    {},
    optional={
        "put_models": MODELS,
        "put_services": SERVICES,
        "put_customers": CUSTOMERS,
        "drain": NAMES,
        "remove_models": NAMES,
        "weight_store": st.fixed_dictionaries({"tokens_per_second": NUMBERS}),
    },
)
DOCUMENTS = st.fixed_dictionaries(
    {
        "change_id": TEXTS,
        "based_on": st.just(0) | NUMBERS,
        "change": CHANGES | ANY_VALUE,
    }
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(document=DOCUMENTS)
@example({"change_id": "c", "based_on": 10**30, "change": {}})
@example({"change_id": "\ud800", "based_on": 0, "change": {}})
def test_every_document_gets_a_plan_or_a_reason(document: object) -> None:
    handler = StateHandler()
    reports: list[str] = []
    keys = (OperatorKey("rita", hash_key(OPERATOR_KEY)),)
    application = OperatorsApplication(keys, handler, reports.append)
    body = json.dumps(document).encode()
    statuses: list[str] = []
    answer = application(
        {
            "PATH_INFO": "/v1/plans",
            "REQUEST_METHOD": "POST",
            "HTTP_AUTHORIZATION": f"Bearer {OPERATOR_KEY}",
            "wsgi.input": io.BytesIO(body),
        },
        lambda status, _headers: statuses.append(status),
    )
    answered = json.loads(b"".join(answer))
    assert int(statuses[0][:3]) in (200, 400, 422), (statuses, reports)
    if "error" in answered:
        assert answered["error"]["message"]
        assert handler.state().configuration.version == 0
    snapshot = handler.state_machine.to_snapshot()
    assert ControlState.from_snapshot(snapshot).to_snapshot() == snapshot
