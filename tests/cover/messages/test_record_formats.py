"""Records as they are written keep their tags, keys and order of fields.

A message is known to other processes by its tag and its fields by their place, and so
are stored records. A class or field that is renamed would otherwise change both, and a
process of an earlier build could not read what this one writes.
"""

from pathlib import Path

from common.encoded_records import encoded_examples

FORMATS = Path(__file__).with_name("record_formats.txt")
"""An example of each record, a line each, as earlier builds write it."""


def test_every_record_is_written_as_earlier_builds_write_it() -> None:
    assert encoded_examples() == FORMATS.read_text(encoding="utf-8").splitlines()
