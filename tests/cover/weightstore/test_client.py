"""Test how the weight store's client handles the store's answers."""

import socket
from hashlib import sha256

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.upstreams import scripted_peer, steady
from cowslipshelf_standins.weight_store import WeightStoreConfig, WeightStoreServer
from cowslipshelf_weightstore import (
    LoadLimited,
    LoadRefused,
    WeightsLoaded,
    WeightStoreClient,
    WeightStoreClientConfig,
    WeightStoreLostError,
)


def client_of(address: str) -> WeightStoreClient:
    config = WeightStoreClientConfig(address, silence_seconds=10.0)
    return WeightStoreClient.from_config(config)


@steady
@given(size=st.integers(0, 200_000), limit=st.integers(1, 4), asked=st.integers(1, 6))
def test_loads_come_whole_up_to_the_rate_limit(size, limit, asked) -> None:
    config = WeightStoreConfig(size, limit, window_seconds=600.0)
    server = WeightStoreServer.from_config(config).start()
    try:
        client = client_of(server.address)
        results = [client.load("small", "1", "grant") for _ in range(asked)]
        loaded = WeightsLoaded(size, sha256(bytes(size)).hexdigest())
        assert results[:limit] == [loaded] * min(limit, asked)
        for result in results[limit:]:
            assert isinstance(result, LoadLimited)
            assert 0.0 < result.retry_after_seconds <= 600.0
        assert server.served.bytes == size * min(limit, asked)
        assert server.served.limited == max(0, asked - limit)
    finally:
        server.stop()


def test_a_load_without_a_grant_is_refused() -> None:
    server = WeightStoreServer.from_config(WeightStoreConfig()).start()
    try:
        result = client_of(server.address).load("small", "1", "")
        assert isinstance(result, LoadRefused)
        assert result.status == 403
    finally:
        server.stop()


@steady
@given(header=st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=8))
def test_any_retry_after_gives_a_bounded_wait(header: str) -> None:
    wire = f"HTTP/1.1 429 No\r\nRetry-After: {header}\r\nContent-Length: 0\r\n\r\n"
    with scripted_peer(lambda peer: peer.sendall(wire.encode())) as address:
        result = client_of(address).load("small", "1", "grant")
    assert isinstance(result, LoadLimited)
    assert 0.0 <= result.retry_after_seconds <= 3_600.0


@steady
@given(cut=st.integers(0, 46))
def test_cut_weights_are_never_taken_for_whole(cut: int) -> None:
    wire = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nweights!"
    with scripted_peer(lambda peer: peer.sendall(wire[:cut])) as address:
        try:
            result = client_of(address).load("small", "1", "grant")
        except WeightStoreLostError as error:
            assert cut < len(wire)
            assert error.peer == address
        else:
            assert cut >= len(wire)
            assert result == WeightsLoaded(8, sha256(b"weights!").hexdigest())


def test_an_unreachable_store_is_an_error_with_its_peer() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    with pytest.raises(WeightStoreLostError) as caught:
        client_of(f"{host}:{port}").load("small", "1", "grant")
    assert caught.value.peer == f"{host}:{port}"
