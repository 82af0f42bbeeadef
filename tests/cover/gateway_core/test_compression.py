"""Check that configurations survive compression, and that corrupt ones are detected."""

import zlib

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import compress_configuration, decompress_configuration


@given(st.binary())
def test_decompression_restores_the_original(body):
    assert decompress_configuration(compress_configuration(body)).ok_value == body


def test_an_uncompressed_configuration_of_an_older_version_is_still_read():
    assert decompress_configuration(b'{"version":7}').ok_value == b'{"version":7}'


@given(st.binary(min_size=1), st.data())
def test_truncated_data_is_never_accepted(body, data):
    compressed = compress_configuration(body)
    kept = data.draw(st.integers(2, len(compressed) - 1))
    assert decompress_configuration(compressed[:kept]).is_err()


@given(st.binary())
def test_arbitrary_bytes_raise_no_exception(data):
    decompress_configuration(data)
    decompress_configuration(b"\x00z" + data)


def test_data_that_expands_beyond_the_limit_is_refused():
    bomb = b"\x00z" + zlib.compress(bytes(65 * 1024 * 1024))
    assert len(bomb) < 100_000
    assert "larger than any" in decompress_configuration(bomb).err_value


def test_many_routes_compress_to_less_than_an_eighth():
    routes = b",".join(
        b'{"name":"r-%d","path_prefix":"/%d/","kind":"stream"}' % (n, n)
        for n in range(1000)
    )
    assert len(compress_configuration(routes)) * 8 < len(routes)
