"""Check which entries an upstream is announced to."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.announcing import (
    EntryChooser,
    EntryChooserConfig,
    EntryEndpoint,
    choose_entries,
    digest_entries,
)

NAMES = st.sets(st.text("abcdef-0123456789", min_size=1, max_size=8), max_size=40)
LIMITS = st.integers(1, 12)


def endpoints(names: set[str]) -> list[EntryEndpoint]:
    return [EntryEndpoint(name, f"10.0.0.1:{len(name)}") for name in names]


@given(names=NAMES, limit=LIMITS, newcomer=st.text("xyz", min_size=1, max_size=4))
def test_an_entry_that_comes_takes_one_place_at_most_and_no_other_moves(
    names, limit, newcomer
):
    """Guards against an added entry that changes the choice of nearly all sidecars.

    That happens if the choice depends on positions in a list. Then every entry loses
    the upstreams that it heard, and hears others for the first time.
    """
    before = choose_entries("runner", endpoints(names), limit)
    after = choose_entries("runner", endpoints(names | {newcomer}), limit)
    assert len(before) == min(limit, len(names))
    assert len(set(after) - set(before)) <= 1
    assert {entry.instance for entry in set(after) - set(before)} <= {newcomer}


def test_entries_hear_about_as_many_upstreams_each():
    entries = endpoints({f"entry-{number}" for number in range(40)})
    heard = Counter(
        entry.instance
        for number in range(520)
        for entry in choose_entries(f"runner-{number}", entries, 4)
    )
    assert len(heard) == len(entries)
    assert max(heard.values()) < 2 * 520 * 4 / len(entries)


@given(names=NAMES, other=NAMES)
def test_lists_of_entries_have_one_digest_just_if_they_are_equal(names, other):
    equal = sorted(endpoints(names)) == sorted(endpoints(other))
    same = digest_entries(endpoints(names)) == digest_entries(endpoints(other)[::-1])
    assert same is equal


@given(
    names=st.sets(st.text("abc", min_size=1), min_size=2, max_size=20), data=st.data()
)
def test_living_entries_take_the_places_of_dead_ones_and_give_them_back(names, data):
    """Guards against upstreams that fewer and fewer entries hear.

    Entries are replaced over the weeks, but the list of a sidecar still contains the
    dead ones. Entries that come back with the same address are used again.
    """
    entries = [EntryEndpoint(name, f"10.0.0.1:{name}") for name in names]
    dead = set(data.draw(st.lists(st.sampled_from(entries), max_size=len(names) - 1)))
    config = EntryChooserConfig("runner", max_entries=3)
    chooser = EntryChooser.from_config(config, entries)
    first = chooser.targets(0.0)
    now = 0.0
    for _ in range(8 * len(entries)):
        now += 1.0
        for entry in chooser.targets(now):
            if entry not in dead:
                chooser.record_answer(entry.mailbox_address)
        if now >= config.retry_seconds - 1.0:
            break
    living = set(entries) - dead
    chosen = set(chooser.targets(now))
    assert len(chosen & living) == min(config.max_entries, len(living))
    for step in range(1, 4):
        later = now + step * config.retry_seconds
        for entry in chooser.targets(later):
            chooser.record_answer(entry.mailbox_address)
    assert set(chooser.targets(now + 4 * config.retry_seconds)) == set(first)
