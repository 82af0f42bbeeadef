"""Check that configurations survive being packed, and that spoilt ones are told."""

import zlib

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import compress_configuration, decompress_configuration


@given(st.binary())
def test_what_was_packed_is_unpacked_to_the_letter(body):
    assert decompress_configuration(compress_configuration(body)).ok_value == body


def test_what_an_older_version_holds_as_written_is_still_read():
    assert decompress_configuration(b'{"version":7}').ok_value == b'{"version":7}'


@given(st.binary(min_size=1), st.data())
def test_what_is_cut_short_is_never_taken_for_whole(body, data):
    small = compress_configuration(body)
    kept = data.draw(st.integers(2, len(small) - 1))
    assert decompress_configuration(small[:kept]).is_err()


@given(st.binary())
def test_bytes_of_somebody_else_raise_nothing(data):
    decompress_configuration(data)
    decompress_configuration(b"\x00z" + data)


def test_what_would_fill_the_memory_is_refused():
    bomb = b"\x00z" + zlib.compress(bytes(65 * 1024 * 1024))
    assert len(bomb) < 100_000
    assert "larger than any" in decompress_configuration(bomb).err_value


def test_a_configuration_of_many_routes_becomes_a_tenth():
    routes = b",".join(
        b'{"name":"r-%d","path_prefix":"/%d/","kind":"stream"}' % (n, n)
        for n in range(1000)
    )
    assert len(compress_configuration(routes)) * 8 < len(routes)
