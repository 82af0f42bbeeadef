"""Check, on real processes, what callers and operators see when processes fail."""

import shutil
import signal
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from common.daemon_fleet import (
    ENGINES,
    MODEL,
    PLAIN,
    TIMINGS,
    StreamedCall,
    available,
    leader,
    runs_of,
    send_notice,
    set_faults,
    start_fleet,
    state,
    version,
)
from local_fleet import LocalFleet, wait_until

PROMPT = "an old lease " * 40


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path, timings=TIMINGS) as fleet:
        start_fleet(fleet, (*ENGINES, PLAIN))
        yield fleet


def other_entries(fleet: LocalFleet, name: str) -> list[str]:
    return [other for other in fleet.entry_names if other != name]


def put_weight(weight: int) -> dict:
    return {
        "put_customers": [
            {
                "name": "mill",
                "services": ["scribe"],
                "key_hash": "0" * 64,
                "weight": weight,
            }
        ]
    }


def test_a_change_outlives_the_leader_and_its_resend_gets_the_first_answer(fleet):
    """An operator confirms a change and the answer is lost with the leader.

    The operator sends the same change again, to another entry. It must learn the
    version that its change got, and the change must not be made a second time.
    """
    base = version(fleet, "entry-1")
    first = fleet.change("weigh", put_weight(3), base)
    killed = leader(fleet)
    fleet.kill(killed)
    again = fleet.change("weigh", put_weight(3), base)
    assert again["configuration_version"] == first["configuration_version"]
    for name in other_entries(fleet, killed):
        assert version(fleet, name) == first["configuration_version"]
    fleet.change("weigh more", put_weight(4))
    fleet.start_entry(killed)
    wait_until(lambda: fleet.is_ready(killed), "the killed leader's return")
    assert version(fleet, killed) == first["configuration_version"] + 1


def test_a_frozen_leader_comes_back_without_bringing_back_the_old_configuration(fleet):
    """The leader stands still for a while and then believes to be in charge.

    Meanwhile another leads and a change is accepted. When the old one goes on, no
    caller may be served under the configuration before that change again.
    """
    frozen = leader(fleet)
    witness = other_entries(fleet, frozen)[0]
    fleet.send_signal(frozen, signal.SIGSTOP)
    wait_until(
        lambda: any(
            one["leads"] and one["instance"] != frozen
            for one in state(fleet, witness)["instances"]
        ),
        "another leader",
    )
    accepted = change_through(fleet, witness, "during", put_weight(5))
    fleet.send_signal(frozen, signal.SIGCONT)
    wait_until(lambda: version(fleet, frozen) == accepted, "the version at the frozen")
    assert version(fleet, witness) == accepted


def change_through(fleet: LocalFleet, name: str, change_id: str, change: dict) -> int:
    base = version(fleet, name)
    document = {"change_id": change_id, "based_on": base, "change": change}
    answer = wait_until(
        lambda: fleet.try_change_at(name, document), f"change through {name}"
    )
    return answer["configuration_version"]


def test_of_two_operators_with_one_base_exactly_one_wins(fleet):
    """Two operators read the same version and change the same customer at once.

    At times one was told 503, "outcome unknown", and its change came into force. A
    pause of most replicas for 1.3 s shows it: the leader steps down at 50.28, `Command
    not answered.` with the last refusal `no_quorum` at 51.44, after five election
    timeouts, and `in force` at 51.64. The bound was made for callers, who have a
    deadline; operators now wait for the 8 s that were meant for them.
    """
    base = version(fleet, "entry-1")
    plans = {}
    for number, name in enumerate(("entry-1", "entry-2"), 1):
        document = {
            "change_id": f"race-{number}",
            "based_on": base,
            "change": put_weight(number + 10),
        }
        status, plan = fleet.operator_call(name, "POST", "/v1/plans", document)
        assert status == 200, plan
        plans[name] = plan["plan"]["plan_id"]
    answers = []

    def confirm(name: str) -> None:
        path = f"/v1/plans/{plans[name]}/confirm"
        answers.append(fleet.operator_call(name, "POST", path, {}))

    threads = [threading.Thread(target=confirm, args=(name,)) for name in plans]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(status for status, _ in answers) == [200, 409]
    (lost,) = [answer for status, answer in answers if status == 409]
    assert lost["newer_version"] == base + 1
    assert lost["fresh_plan"]["based_on"] == base + 1


def test_a_stream_goes_on_elsewhere_when_its_sidecar_is_killed(fleet):
    """A caller reads a summary; the sidecar that passes it on is killed.

    The caller sees one stream with the whole text: the other engine goes on after
    the tokens that had come, and none is missing or doubled.
    """
    whole = StreamedCall(fleet, "entry-1", PROMPT, 40).text()
    call = StreamedCall(fleet, "entry-1", PROMPT, 40)
    call.wait_for_tokens(5)
    running = [
        one["upstream_id"]
        for one in wait_until(
            lambda: [u for u in state(fleet, "entry-1")["upstreams"] if u["running"]],
            "the attempt in a load report",
        )
    ]
    fleet.kill(f"{running[0]}-sidecar")
    assert call.text() == whole


def test_a_call_that_must_run_once_runs_once_though_its_entry_is_killed(fleet):
    """A clerk sends a mail notice; the entry is killed before the answer comes.

    The clerk sends it again through another entry, several times. The notice runs
    once, and the answer is the stored one, "still running" or "unknown", and never
    a claim that it did not run.
    """
    set_faults(fleet, PLAIN.name, slow_factor=1.0, drop_before_answer=True)
    sender = threading.Thread(
        target=send_and_lose, args=(fleet, "entry-2", "notice-9"), daemon=True
    )
    sender.start()
    wait_until(lambda: runs_of(fleet, PLAIN.name, "notice-9") == 1, "the first run")
    fleet.kill("entry-2")
    set_faults(fleet, PLAIN.name)
    for name in ("entry-1", "entry-3", "entry-1"):
        status, document = send_notice(fleet, name, "notice-9")
        assert (
            status == 200
            or document["error"]["code"] != "not_run"
            or (document["error"]["reason"] == "still_running")
        ), document
    assert runs_of(fleet, PLAIN.name, "notice-9") == 1


def send_and_lose(fleet: LocalFleet, entry: str, key: str) -> None:
    try:
        send_notice(fleet, entry, key)
    except Exception as error:
        print(f"the caller saw: {error}")


def test_a_draining_upstream_finishes_its_work_and_gets_no_more(fleet):
    """An operator drains an engine in the middle of a stream."""
    call = StreamedCall(fleet, "entry-1", PROMPT, 60)
    call.wait_for_tokens(3)
    busy = wait_until(
        lambda: [u for u in state(fleet, "entry-1")["upstreams"] if u["running"]],
        "the attempt in a load report",
    )[0]["upstream_id"]
    fleet.change("drain", {"drain": [busy]})
    for name in fleet.entry_names:
        wait_until(
            lambda name=name: busy in state(fleet, name)["configuration"]["draining"],
            f"the drain at {name}",
        )
    assert call.text()
    for _ in range(4):
        assert StreamedCall(fleet, "entry-2", PROMPT, 2).text()
    _, metrics = fleet.operator_call("entry-2", "GET", f"/v1/explain/upstream/{busy}")
    assert "draining: True" in metrics["lines"]
    idle = wait_until(
        lambda: [
            u
            for u in state(fleet, "entry-1")["upstreams"]
            if u["upstream_id"] == busy and u["running"] == 0
        ],
        "the drained engine to be idle",
    )
    assert idle[0]["reserved_tokens"] == 0


def test_a_graceful_shutdown_cuts_no_request(fleet):
    """An entry is asked to end while it streams an answer."""
    call = StreamedCall(fleet, "entry-3", PROMPT, 60)
    call.wait_for_tokens(3)
    fleet.send_signal("entry-3", signal.SIGTERM)
    assert call.text()
    assert fleet.wait_for_end("entry-3") == 0


def test_a_sidecar_that_leaves_finishes_its_streams_and_takes_no_more(fleet):
    """An engine's slot is to be emptied while a summary is streamed from it.

    Its sidecar is asked to end. The caller's stream ends whole, from that engine, and
    calls that come meanwhile are answered by the other one.

    At times the stream was placed twice: a pause of the machine, within the hand-over,
    counted as the sidecar's silence (`Read timed out. (read timeout=1.0)` at 1.304 s,
    `trying elsewhere` at 1.308 s), or in the sidecar as the silence of its owner
    (`trying elsewhere after cancelled`). Once the sidecar stayed and was killed;
    a pause shows how: its signal comes in a thread that Python does not look at, and
    `Signal taken.` is missing.
    """
    call = StreamedCall(fleet, "entry-1", PROMPT, 60)
    call.wait_for_tokens(3)
    busy = wait_until(
        lambda: [u for u in state(fleet, "entry-1")["upstreams"] if u["running"]],
        "the attempt in a load report",
    )[0]["upstream_id"]
    fleet.send_signal(f"{busy}-sidecar", signal.SIGTERM)
    assert StreamedCall(fleet, "entry-2", PROMPT, 4).text()
    assert call.text()
    assert fleet.wait_for_end(f"{busy}-sidecar") == 0
    request_id = call.response.headers["X-Request-Id"]
    path = f"/v1/explain/request/{request_id}"
    _, explained = fleet.operator_call("entry-1", "GET", path)
    placed = [line for line in explained["lines"] if " placed on " in line]
    assert len(placed) == 1, "\n".join(explained["lines"])


def test_a_wiped_disk_is_repaired_and_a_second_loss_right_after_is_survived(fleet):
    """A disk is lost; its entry comes back empty and is filled; then another dies."""
    before = fleet.change("before", put_weight(2))["configuration_version"]
    fleet.kill("entry-3")
    shutil.rmtree(fleet.folder / "entry-3-data")
    fleet.start_entry("entry-3")
    wait_until(lambda: fleet.is_ready("entry-3"), "the wiped entry's return")
    assert version(fleet, "entry-3") == before
    wait_until(lambda: voters(fleet, "entry-3") == 3, "three whole replicas")
    lost = next(name for name in fleet.entry_names if name != "entry-3")
    fleet.kill(lost)
    after = fleet.change("after", put_weight(9))["configuration_version"]
    assert after == before + 1


def voters(fleet: LocalFleet, name: str) -> int:
    return len([n for n in state(fleet, name)["notes"] if n.startswith("voter")])


def test_wrong_calls_get_a_clear_error_and_leave_nothing_behind(fleet):
    """A caller has the wrong key, another names a model that nobody has."""
    url = f"http://{fleet.callers['entry-1']}/v1/completions"
    body = b'{"model": "%s", "prompt": "x"}'
    wrong_key = {"Authorization": "Bearer nobody's key at all"}
    right_key = {"Authorization": "Bearer a-test-customer-key"}
    for payload, headers, status, reason in (
        (body % MODEL.encode(), wrong_key, 401, "bad_key"),
        (body % b"unknown", right_key, 404, "unknown_model"),
        (b'{"model": ', right_key, 400, "bad_request"),
    ):
        response = fleet.http.request("POST", url, body=payload, headers=headers)
        assert response.status == status, response.data
        assert response.json()["error"]["reason"] == reason
    assert set(available(fleet, "entry-1")) == {u.name for u in (*ENGINES, PLAIN)}
    assert not any(u["running"] for u in state(fleet, "entry-1")["upstreams"])
