"""Check what is parsed for routing from the body of a model call."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipshelf_callers.internal.model_call import (
    PREFIX_BYTES,
    parse_chat,
    parse_completion,
)

TEXTS = st.text(st.characters(codec="utf-8"), max_size=60)


@given(st.lists(TEXTS, min_size=1, max_size=5), st.integers(1, 5000))
@settings(deadline=None, derandomize=True)
def test_a_prompt_counts_a_token_for_four_bytes_however_it_is_sent(texts, max_tokens):
    size = sum(len(text.encode()) for text in texts)
    parts = [{"type": "text", "text": text} for text in texts[1:]]
    messages = [{"role": "user", "content": texts[0]}, {"role": "x", "content": parts}]
    chat = {"model": "m", "messages": messages, "max_tokens": max_tokens, "other": [1]}
    completion = {"model": "m", "prompt": texts, "max_tokens": max_tokens}
    for facts in (
        parse_chat(json.dumps(chat).encode()),
        parse_completion(json.dumps(completion).encode()),
    ):
        assert 4 * facts.prompt_tokens - 3 <= size <= 4 * facts.prompt_tokens
        assert facts.max_output_tokens == max_tokens


@given(st.lists(st.integers(0, 200_000), min_size=1), st.booleans())
@settings(deadline=None, derandomize=True)
def test_token_ids_are_counted_exactly(ids, nested):
    body = {"model": "m", "prompt": [ids] if nested else ids}
    assert parse_completion(json.dumps(body).encode()).prompt_tokens == len(ids)


@given(TEXTS, TEXTS)
@settings(deadline=None, derandomize=True)
def test_prompts_share_a_hash_where_they_share_their_start(one, other):
    start = "s" * PREFIX_BYTES
    hashes = {
        parse_completion(
            json.dumps({"model": "m", "prompt": text}).encode()
        ).prefix_hash
        for text in (start + one, start + other)
    }
    assert len(hashes) == 1
    assert 0 < hashes.pop() < 2**64


def chat_parts(*messages: tuple[str, str]) -> tuple[str, ...]:
    listed = [{"role": role, "content": text} for role, text in messages]
    body = {"model": "m", "messages": listed}
    return parse_chat(json.dumps(body).encode()).shared_parts


def test_chats_share_the_messages_before_their_last():
    system, first = ("system", "s"), ("user", "a")
    parts = chat_parts(system, first, ("user", "b"))
    assert parts == chat_parts(system, first, ("user", "c"))
    assert chat_parts(system, ("user", "b")) == parts[:1]
    assert chat_parts(("user", "s"), first) != parts[:1]
    assert chat_parts(system) == ()
