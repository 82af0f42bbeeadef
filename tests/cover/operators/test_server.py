"""Check the operators' interface over real connections."""

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from common.operators import CUSTOMER_KEY, OPERATOR_KEY, StateHandler, serving
from cowslipshelf_core.configuration import Model, Service
from cowslipshelf_core.control import (
    ChangeDocument,
    CustomerDocument,
    PlanDocument,
)
from cowslipshelf_operators import (
    ConfirmedAnswer,
    OperatorsClient,
    OperatorsClientConfig,
    OperatorsServer,
    OutdatedAnswer,
    PlanAnswer,
)
from cowslipshelf_operators.errors import ClientError, HandlerError, HttpStatusError

WAIT_SECONDS = 20.0


@pytest.fixture(scope="module")
def server() -> Iterator[OperatorsServer]:
    with serving(StateHandler()) as running:
        yield running


def client_of(*servers: OperatorsServer, key: str = OPERATOR_KEY) -> OperatorsClient:
    addresses = tuple(server.address for server in servers)
    return OperatorsClient.from_config(OperatorsClientConfig(addresses, key, 5.0, 5.0))


def change_document(change_id: str, based_on: int, **fields: object) -> PlanDocument:
    return PlanDocument(change_id, based_on, change=ChangeDocument(**fields))


def exchange(server: OperatorsServer, data: bytes, *, end: bool = False) -> bytes:
    """Send raw bytes, and read until the server closes the connection."""
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), WAIT_SECONDS) as connection:
        connection.sendall(data)
        if end:
            connection.shutdown(socket.SHUT_WR)
        received = b""
        while block := connection.recv(65_536):
            received += block
    return received


def request_bytes(
    path: str, body: bytes = b"", length: int | None = None, key: str = OPERATOR_KEY
) -> bytes:
    announced = len(body) if length is None else length
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {announced}\r\n\r\n"
    ).encode() + body


def status_and_error(answer: bytes) -> tuple[int, dict[str, str]]:
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["error"]


def test_a_change_is_planned_confirmed_and_explained() -> None:
    with serving(StateHandler()) as server:
        client = client_of(server)
        document = change_document(
            "first",
            0,
            put_models=(Model("wide", "7"),),
            put_services=(Service("scribe", "model", ("wide",)),),
            put_customers=(CustomerDocument("north", ("scribe",), key=CUSTOMER_KEY),),
        )
        planned = client.plan(document)
        assert isinstance(planned, PlanAnswer)
        assert client.state().configuration.version == 0
        assert any("announced" in undone.why for undone in planned.plan.not_done)

        confirmed = client.confirm(planned.plan.plan_id, "first")
        assert isinstance(confirmed, ConfirmedAnswer)
        assert client.confirm(planned.plan.plan_id) == confirmed
        assert client.plan(document) == planned
        state = client.state()
        assert state.configuration.version == confirmed.configuration_version == 1
        assert CUSTOMER_KEY not in repr(state)
        actions = tuple(record.action for record in client.audit().records)
        assert client.explain("change", "first").lines == actions


def test_operators_that_race_get_one_winner_and_a_fresh_plan_for_the_other() -> None:
    """Two operators plan changes based on version 0, and both confirm their plans.

    One must get the answer that its plan is outdated, with a fresh plan. Confirming
    that plan puts its change in force without undoing the other change.
    """
    with serving(StateHandler()) as server:
        client = client_of(server)
        plans = [
            client.plan(change_document(name, 0, put_models=(Model(name, "1"),))).plan
            for name in ("left", "right")
        ]
        answers: list[ConfirmedAnswer | OutdatedAnswer] = []
        threads = [
            threading.Thread(
                target=lambda plan=plan: answers.append(client.confirm(plan.plan_id))
            )
            for plan in plans
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(WAIT_SECONDS)
        lost = [entry for entry in answers if isinstance(entry, OutdatedAnswer)]
        assert len(answers) == 2
        assert [entry.newer_version for entry in lost] == [1]
        client.confirm(lost[0].fresh_plan.plan_id)
        configuration = client.state().configuration
        assert configuration.version == 2
        assert [model.name for model in configuration.models] == ["left", "right"]


def test_a_change_resent_to_another_instance_gets_its_first_answer() -> None:
    """The instance that recorded the change crashes before its answer arrives.

    The client sends the change to the next address and must get the plan that the
    first instance recorded, not a second one.
    """
    handler = StateHandler()
    document = change_document("once", 0, put_models=(Model("wide", "7"),))
    with serving(handler) as surviving:
        with serving(handler) as dying:
            first = client_of(dying, surviving).plan(document)
            addresses = (dying.address, surviving.address)
        config = OperatorsClientConfig(addresses, OPERATOR_KEY)
        assert OperatorsClient.from_config(config).plan(document) == first
        with pytest.raises(ClientError) as unreachable:
            config = OperatorsClientConfig(addresses[:1], OPERATOR_KEY)
            OperatorsClient.from_config(config).plan(document)
        assert unreachable.value.peer == addresses[0]


def test_only_an_operators_key_is_accepted(server: OperatorsServer) -> None:
    for key in (CUSTOMER_KEY, "", OPERATOR_KEY + "x", "\xe9"):
        with pytest.raises(HttpStatusError) as refused:
            client_of(server, key=key).state()
        assert refused.value.status == 401
    for path, expected in (("healthz", 200), ("readyz", 503), ("metrics", 200)):
        answer = exchange(server, f"GET /{path} HTTP/1.0\r\n\r\n".encode())
        assert int(answer.split()[1]) == expected


@pytest.mark.parametrize(
    ("data", "end", "status", "message"),
    [
        (request_bytes("/v1/plans", b"{"), False, 400, "truncated"),
        (request_bytes("/v1/plans", b'{"change_id": "a"}'), False, 400, "based_on"),
        (
            request_bytes(
                "/v1/plans", b'{"change_id":"a","based_on":0,"change":{"purge":1}}'
            ),
            False,
            400,
            "purge",
        ),
        (request_bytes("/v1/plans", b"[" * 15_000), False, 400, ""),
        (request_bytes("/v1/plans", b"\xff\xfe"), False, 400, ""),
        (request_bytes("/v1/plans", b'{"chan', 60), True, 400, "60 bytes announced"),
        (request_bytes("/v1/plans", b"x" * 4_000_000), False, 413, "maximum"),
        (request_bytes("/v1/plans" + "?" + "a" * 9_000), False, 414, "maximum"),
        (request_bytes("/v1/plans", key="k" * 9_000), False, 413, "headers"),
        (request_bytes("/v1/plans/none/confirm"), False, 404, "none"),
        (request_bytes("/v1/state"), False, 405, "GET"),
        (request_bytes("/v1/explain/change/none"), False, 405, "GET"),
        (request_bytes("/v2"), False, 404, "/v2"),
        (b"nonsense\r\n\r\n", False, 400, ""),
        (b"GET /healthz HTTP/1.1\r\nbroken header\r\n\r\n", False, 400, ""),
    ],
)
def test_a_bad_request_gets_a_clear_error_and_changes_nothing(
    server: OperatorsServer, data: bytes, end: bool, status: int, message: str
) -> None:
    before = client_of(server).audit()
    found, error = status_and_error(exchange(server, data, end=end))
    assert found == status
    assert message in error["message"]
    assert error["code"] and error["step"] and error["peer"]
    assert client_of(server).audit() == before


@pytest.mark.parametrize(
    "beginning",
    [
        b"GET /v1/state HTTP/1.1\r\nX-Slow: ",
        request_bytes("/v1/plans", length=10_000),
    ],
)
def test_a_client_that_sends_byte_by_byte_is_disconnected_in_time(
    beginning: bytes,
) -> None:
    """A client sends its head or body byte by byte, each byte within the timeout.

    With a timeout that restarts at each byte, it would hold its thread without limit,
    and a few such clients would lock all operators out.
    """
    with serving(StateHandler(), request_seconds=0.6, threads=1) as server:
        host, _, port = server.address.rpartition(":")
        with socket.create_connection((host, int(port)), WAIT_SECONDS) as connection:
            stopped = threading.Event()
            thread = threading.Thread(
                target=send_slowly, args=(connection, beginning, stopped)
            )
            thread.start()
            answer = connection.recv(65_536)
            stopped.set()
            thread.join(WAIT_SECONDS)
        assert status_and_error(answer)[0] == 408
        assert client_of(server).state().configuration.version == 0


def send_slowly(
    connection: socket.socket, beginning: bytes, stopped: threading.Event
) -> None:
    """Send the start of a request, then single bytes without end."""
    try:
        connection.sendall(beginning)
        while not stopped.wait(0.1):
            connection.sendall(b"x")
    except OSError:
        return


def test_silent_connections_do_not_block_operators() -> None:
    """Connections on which nothing is sent are opened to a server with one thread.

    A later request of an operator must be answered before they time out.
    """
    with ExitStack() as stack:
        server = stack.enter_context(
            serving(StateHandler(), request_seconds=60.0, threads=1)
        )
        host, _, port = server.address.rpartition(":")
        for _ in range(8):
            silent = socket.create_connection((host, int(port)))
            stack.enter_context(silent)
        assert client_of(server).state().configuration.version == 0


def test_a_failing_handler_is_answered_with_its_step_and_peer() -> None:
    """Without a leader, the operator must see the failed step and when to retry."""
    handler = StateHandler()
    document = change_document("late", 0, put_models=(Model("wide", "7"),))
    with serving(handler) as server:
        handler.failure = HandlerError(
            "propose", "entry-2", "no quorum", retry_after_seconds=3.0
        )
        with pytest.raises(HttpStatusError) as refused:
            client_of(server).plan(document)
        assert (refused.value.status, refused.value.step) == (503, "propose")
        assert "entry-2" in refused.value.peer
        assert refused.value.retry_after_seconds == 3.0
        handler.failure = OSError("a disk error that names /some/path")
        with pytest.raises(HttpStatusError) as fault:
            client_of(server).plan(document)
        assert (fault.value.status, fault.value.code) == (500, "internal")
        assert "/some/path" not in str(fault.value)
