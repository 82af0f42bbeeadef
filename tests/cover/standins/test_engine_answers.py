"""Test the engine stand-in's answers over HTTP."""

from itertools import count

import msgspec
import pytest
import urllib3
from hypothesis import example, given
from hypothesis import strategies as st

from common.upstreams import (
    FAST_ENGINE,
    client_of,
    completion,
    running_engine,
    steady,
    text_of,
)
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_standins.engine import Faults
from cowslipshelf_upstreams import (
    EngineOrder,
    PromptPart,
    UpstreamLostError,
    UpstreamRefusedError,
)

ATTEMPT_NUMBERS = count()
CUT_ANSWERS = {
    "prompt": st.text(min_size=1, max_size=40),
    "tokens": st.integers(1, 30),
    "chat": st.booleans(),
    "cuts": st.lists(st.integers(1, 5), max_size=4),
}
HTTP = urllib3.PoolManager(retries=False, timeout=10.0)


@pytest.fixture(scope="module")
def engine():
    with running_engine() as server:
        yield server


@pytest.fixture(scope="module")
def other_engine():
    with running_engine() as server:
        yield server


def fresh_id() -> str:
    return f"attempt-{next(ATTEMPT_NUMBERS)}"


def whole_answer(address: str, asked: HandOver) -> bytes:
    """Return the answer to a non-streamed request, without faults."""
    url = f"http://{address}{asked.path}"
    headers = {"X-Request-Id": asked.request_id}
    return HTTP.request("POST", url, body=asked.body, headers=headers).data


def whole_text(address: str, prompt: str, tokens: int, chat: bool) -> str:
    """Return the text of a non-streamed answer, without faults."""
    asked = completion(prompt, tokens, chat=chat, stream=False)
    answer = whole_answer(address, asked)
    assert msgspec.json.decode(answer)["usage"]["completion_tokens"] == tokens
    return text_of(answer)


@steady
@given(**CUT_ANSWERS)
def test_cut_and_resumed_streams_give_the_whole_answer(
    engine, prompt, tokens, chat, cuts
):
    """A connection to an engine is cut repeatedly in the middle of an answer.

    The sidecar resumes after the last event it received. The caller must get each token
    once and in order, and the final marker last.
    """
    client = client_of(engine.address)
    asked = completion(prompt, tokens, chat=chat, attempt_id=fresh_id())
    stream = None
    pieces = []
    for drop_after in [*cuts, None]:
        engine.injector.set(Faults(drop_after_events=drop_after))
        if stream is None:
            stream = client.start(asked)
        else:
            got = sum(piece.tokens for piece in pieces)
            stream = client.resume(asked.attempt_id, pieces[-1].sequence, got)
        try:
            pieces.extend(stream)
            break
        except UpstreamLostError as error:
            assert (error.step, error.peer) == ("stream", engine.address)
    assert [piece.sequence for piece in pieces] == list(range(1, len(pieces) + 1))
    assert sum(piece.tokens for piece in pieces) == tokens
    assert pieces[-1].data == b"data: [DONE]\n\n"
    text = "".join(text_of(piece.data) for piece in pieces)
    engine.injector.set(Faults())
    assert text == whole_text(engine.address, prompt, tokens, chat)


@steady
@given(**CUT_ANSWERS)
@example(prompt="0", tokens=2, chat=False, cuts=[2, 1])
def test_whole_answers_are_the_engines_own_however_often_cut(
    engine, prompt, tokens, chat, cuts
):
    """The connection to the engine is cut during a non-streamed answer.

    The client fetches the answer as a stream, so that it can resume. The caller must
    get the answer that the engine would have sent to a non-streamed request.
    """
    client = client_of(engine.address)
    asked = completion(prompt, tokens, chat=chat, stream=False, attempt_id=fresh_id())
    faults = [Faults(drop_after_events=cut) for cut in cuts] + [Faults()]
    engine.injector.set(faults[0])
    stream = client.start(asked)
    assert ("Content-Type", "application/json") in stream.headers
    pieces = []
    for next_faults in [*faults[1:], Faults()]:
        try:
            pieces.extend(stream)
            break
        except UpstreamLostError:
            engine.injector.set(next_faults)
            stream = client.resume(asked.attempt_id, len(pieces))
    engine.injector.set(Faults())
    assert [piece.sequence for piece in pieces] == [1, 2]
    assert (pieces[0].data, sum(p.tokens for p in pieces)) == (b"", tokens)
    answer = msgspec.json.decode(pieces[1].data)
    assert answer == msgspec.json.decode(whole_answer(engine.address, asked))
    assert client.assemblies == {}


@pytest.mark.parametrize("extra", [{"n": 1}, {"logprobs": 2}, {"tools": []}])
def test_a_whole_answer_of_unusual_shape_passes_unchanged(engine, extra) -> None:
    asked = completion(stream=False, attempt_id=fresh_id())
    body = msgspec.json.encode(msgspec.json.decode(asked.body) | extra)
    pieces = list(client_of(engine.address).start(asked._replace(body=body)))
    assert b"".join(p.data for p in pieces) == whole_answer(engine.address, asked)


@steady
@given(
    prompt=st.text(min_size=1, max_size=40),
    tokens=st.integers(2, 20),
    chat=st.booleans(),
    data=st.data(),
)
def test_another_engine_continues_an_answer(
    engine, other_engine, prompt, tokens, chat, data
):
    """An engine dies in the middle of an answer, and another one continues it."""
    delivered = data.draw(st.integers(1, tokens - 1))
    second = client_of(other_engine.address)
    text = whole_text(engine.address, prompt, tokens, chat)
    asked = completion(prompt, tokens, chat=chat, attempt_id=fresh_id())
    pieces = list(second.start(asked._replace(delivered_tokens=delivered)))
    rest = "".join(text_of(piece.data) for piece in pieces)
    assert sum(piece.tokens for piece in pieces) == tokens - delivered
    head = text.removesuffix(rest)
    assert len(head.split()) == delivered
    assert head + rest == text


def test_a_lost_reader_leaves_the_memory_held_until_a_delete() -> None:
    """A sidecar dies, and its connection to the engine with it.

    The engine continues to generate and holds the attempt's memory until a cancel. The
    sidecar must find this leak by the engine's inventory.
    """
    slow = FAST_ENGINE._replace(decode_seconds_per_token=5.0)
    with running_engine(slow) as server:
        client = client_of(server.address)
        stream = client.start(completion(max_tokens=100_000))
        next(iter(stream))
        stream.close()
        held = client.inventory().held
        assert [item.tokens > 100_000 for item in held] == [True]
        server.injector.set(Faults(lose_cancel=True))
        assert client.cancel("attempt")
        assert client.inventory().held[0].tokens > 100_000
        server.injector.set(Faults())
        assert client.cancel("attempt")
        assert client.inventory().held == ()
        assert not client.cancel("attempt")


def test_refused_whole_answers_leave_nothing_behind(engine) -> None:
    client = client_of(engine.address)
    asked = completion(stream=False, max_tokens=10**9, attempt_id=fresh_id())
    stream = client.start(asked)
    assert stream.status == 400
    assert b"context_length_exceeded" in b"".join(piece.data for piece in stream)
    assert client.assemblies == {}


def test_a_known_attempt_never_starts_again(engine) -> None:
    """A duplicate of a start arrives late, even after the attempt was deleted."""
    client = client_of(engine.address)
    asked = completion(attempt_id="once")
    list(client.start(asked))
    assert client.start(asked).status == 409
    client.cancel("once")
    assert client.start(asked).status == 409


def test_a_cancelled_attempt_ends_its_stream_without_the_final_marker() -> None:
    slow = FAST_ENGINE._replace(decode_seconds_per_token=5.0)
    with running_engine(slow) as server:
        client = client_of(server.address)
        stream = iter(client.start(completion(max_tokens=100_000)))
        next(stream)
        client.cancel("attempt")
        with pytest.raises(UpstreamLostError):
            list(stream)
        with pytest.raises(UpstreamLostError):
            client.resume("attempt", 1)


def test_a_prompt_larger_than_an_engine_runs_over_three(other_engine) -> None:
    """A prompt needs more than two engines' memory and is prefilled on three."""
    small = FAST_ENGINE._replace(memory_tokens=1_100)
    prompt = "ledger " * 1_430
    asked = completion(prompt, 20, stream=True)
    tokens = -(-len(prompt) // 4)
    cuts = (0, 1_000, 2_000)
    with (
        running_engine(small) as first,
        running_engine(small) as second,
        running_engine(small) as last,
    ):
        clients = [client_of(s.address) for s in (first, second, last)]
        assert clients[2].start(asked).status == 400
        parts = []
        for client, start, end in zip(clients, cuts, cuts[1:], strict=False):
            client.import_kv(tuple(parts))
            handles = tuple(part.handle for part in parts)
            list(client.start(asked, PromptPart(start, end, handles)))
            parts.append(client.export_kv("attempt", start, end))
            assert client.inventory().held[0].tokens == end - start
        clients[2].import_kv(tuple(parts))
        handles = tuple(part.handle for part in parts)
        pieces = list(clients[2].start(asked, PromptPart(kv_handles=handles)))
        usage = msgspec.json.decode(pieces[-2].data[6:])["usage"]
        assert usage["prompt_tokens"] == tokens
        text = "".join(text_of(piece.data) for piece in pieces)
        assert text == whole_text(other_engine.address, prompt, 20, False)
        for client in clients:
            client.cancel("attempt")
            assert client.inventory().held == ()
        with pytest.raises(UpstreamRefusedError):
            clients[0].export_kv("attempt", 0, 1_000)


@pytest.mark.parametrize("checks", [True, False])
def test_orders_run_once_each_and_old_ones_only_where_unchecked(checks) -> None:
    """Two instances send orders; the isolated one has an old fencing number."""
    with running_engine(FAST_ENGINE._replace(checks_fencing=checks)) as server:
        client = client_of(server.address)
        newer = client.send_order(EngineOrder("b", "load_model", "small@2", 9))
        older = client.send_order(EngineOrder("a", "load_model", "small@1", 4))
        assert (newer.accepted, older.accepted) == (True, not checks)
        assert older.newest_fencing == 9
        state = HTTP.request("GET", f"http://{server.address}/v1/orders").json()
        assert state["models"] == [["small", "2" if checks else "1"]]


@steady
@given(
    body=st.binary(max_size=60) | st.text(max_size=60).map(str.encode),
    length=st.none() | st.sampled_from(["-1", "x", "1e3", ""]),
)
@example(body=b'{"model": "m", "prompt": [99999999999999999999]}', length=None)
@example(body=b'{"model": "m", "prompt": [-1]}', length=None)
def test_malformed_requests_get_an_error_and_leave_nothing(
    engine, body, length
) -> None:
    before = client_of(engine.address).inventory()
    headers = {} if length is None else {"Content-Length": length}
    for path in ("completions", "chat/completions", "orders", "kv/import"):
        url = f"http://{engine.address}/v1/{path}"
        answer = HTTP.request("POST", url, body=body, headers=headers)
        assert answer.status == 400
        assert answer.json()["error"]["code"] == "bad_request"
    assert client_of(engine.address).inventory() == before
