"""Check how a gateway handles requests under which upstreams exited."""

import asyncio
import time

import msgspec
import pytest

from common.gateway_requests import BODY, GatewayWithFakeRunner, RecordedAnswer
from cowslipshelf_core.gateway import (
    AllowedAlone,
    BrokenPart,
    ExitPartsReport,
    ExitReport,
    HeldBack,
    PromptPartsTold,
    SuspectRequestReport,
    SuspectRequestsTold,
    UpstreamExit,
    request_digest,
    shared_part_digests,
)
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    Answered,
    AttemptOutcome,
    Broken,
    NotRun,
)
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest
from cowslipshelf_daemon.internal.gateway.suspect_requests_file import (
    StoredSuspects,
    SuspectRequestsDocument,
    SuspectRequestsFile,
)
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_host.metrics import Metrics

DIGEST = request_digest(None, "POST", "host.example", "/x", BODY)
ENDED = Broken("read answer", "closed", upstream_exited=True)
LOST = Broken("read answer", "silent")


def test_what_ended_three_upstreams_is_refused_without_a_time_to_come_back():
    """Guards against a retry-after for a request that ends every upstream."""
    gateway = GatewayWithFakeRunner(ENDED, ENDED, ENDED)
    assert gateway.ask().status == 502
    answer = gateway.ask()
    assert answer.status == 503
    assert b"retry-after" not in answer.headers
    assert gateway.runner.sent == 3


def test_another_body_of_the_same_caller_is_served():
    """Guards against refusing all requests of a customer because of one."""
    gateway = GatewayWithFakeRunner(ENDED, ENDED, ENDED, Answered(200))
    gateway.ask()
    gateway.ask(b"harmless")
    assert gateway.runner.sent == 4


@pytest.mark.parametrize("outcome", [LOST, NotRun(503)])
def test_attempts_that_were_lost_otherwise_do_not_count_against_a_request(outcome):
    gateway = GatewayWithFakeRunner(*[outcome] * 6)
    for _ in range(2):
        gateway.ask()
    assert gateway.runner.sent == 6


def test_a_helper_that_restarts_counts_instead_of_the_engines_that_answer():
    """Guards against a request held back because one helper restarted."""
    ended = Broken("read answer", "began there", upstream_exited=True, replaced="u-9")
    gateway = GatewayWithFakeRunner(ended, ended, ended)
    gateway.ask()
    assert gateway.runner.sent == 3
    assert gateway.suspects.quarantine.exit_count(DIGEST) == 1


def test_each_exit_and_each_trial_is_reported_to_all_gateways():
    gateway = GatewayWithFakeRunner(ENDED, ENDED, ENDED)
    gateway.ask()
    ends, trial_begins, trial_ends = 3, 1, 1
    assert gateway.told == [DIGEST] * (ends + trial_begins + trial_ends)


def test_a_suspect_on_trial_elsewhere_gets_a_short_retry_after():
    gateway = GatewayWithFakeRunner()
    now = time.monotonic()
    for upstream in ("u-1", "u-2"):
        gateway.suspects.quarantine.record_exit(DIGEST, upstream, now)
    gateway.suspects.quarantine.begin_trial(DIGEST, AllowedAlone(probe=False), now)
    answer = gateway.ask()
    assert answer.status == 503
    assert answer.headers[b"retry-after"] == b"0.5"
    assert gateway.runner.sent == 0


def test_a_caller_that_leaves_ends_the_trial_of_its_request():
    """Guards against a suspect that stays blocked after its caller disconnects."""
    gateway = GatewayWithFakeRunner()
    now = time.monotonic()
    for upstream in ("u-1", "u-2"):
        gateway.suspects.quarantine.record_exit(DIGEST, upstream, now)

    async def never_end(task, placement) -> AttemptOutcome:
        await asyncio.Event().wait()

    gateway.runner.run = never_end

    async def leave() -> None:
        headers = [(b"x-attempt-id", b"a"), (b"x-deadline-ms", b"3000")]
        request = HttpRequest("POST", "/x", headers, BODY, "host.example", "caller")
        serving = asyncio.create_task(gateway.handler(request, RecordedAnswer()))
        await asyncio.sleep(0.01)
        assert isinstance(
            gateway.suspects.quarantine.verdict(DIGEST, time.monotonic()), HeldBack
        )
        serving.cancel()
        await asyncio.wait({serving})

    asyncio.run(leave())
    assert gateway.suspects.quarantine.verdict(
        DIGEST, time.monotonic()
    ) == AllowedAlone(False)


def report(*upstreams: str, age: float = 1.0) -> SuspectRequestReport:
    ends = tuple(ExitReport(UpstreamExit(each, 0), age, False) for each in upstreams)
    return SuspectRequestReport(DIGEST, ends, 0, 0, 0.0, 0)


def stored(suspect: SuspectRequestReport, at: float) -> SuspectRequestsDocument:
    return SuspectRequestsDocument(at, SuspectRequestsTold((suspect,)))


def test_an_invalid_report_beside_a_valid_one_changes_nothing():
    """Guards against a faulty peer that makes a gateway refuse requests."""
    gateway = GatewayWithFakeRunner()
    odd = report("u-1", "u-2", "u-3", age=float("nan"))
    gateway.suspects.merge_reports("peer", SuspectRequestsTold((odd, report("u-1"))))
    assert gateway.suspects.quarantine.exit_count(DIGEST) == 1


def test_a_restart_recalls_what_is_held_back(tmp_path):
    file = SuspectRequestsFile(str(tmp_path))
    document = stored(report("u-1", age=1.0), time.time() - 5.0)
    file.write(msgspec.msgpack.encode(document), 1)
    told_again = SuspectRequestsFile(str(tmp_path)).read().requests
    (recalled,) = told_again.suspects
    assert recalled.exits[0].age_seconds == pytest.approx(6.0, abs=1.0)
    suspects = SuspectRequests(
        "10.0.0.1", Metrics(), lambda _digest: None, lambda: None
    )
    suspects.merge_reports("10.0.0.1", told_again)
    assert suspects.quarantine.exit_count(DIGEST) == 1


def test_a_clock_that_was_set_back_dates_no_exit_in_the_future(tmp_path):
    file = SuspectRequestsFile(str(tmp_path))
    document = stored(report("u-1"), time.time() + 900.0)
    file.write(msgspec.msgpack.encode(document), 1)
    assert file.read().requests.suspects[0].exits[0].age_seconds == 1.0


@pytest.mark.parametrize("keep", [0, 1, 7, 20])
def test_a_truncated_file_does_not_prevent_a_start(tmp_path, keep):
    """Guards against a gateway that can't start after a power loss."""
    file = SuspectRequestsFile(str(tmp_path))
    document = stored(report("u-1"), time.time())
    file.write(msgspec.msgpack.encode(document)[:keep], 1)
    assert file.read() == StoredSuspects(SuspectRequestsTold(()), PromptPartsTold())


PARTS = shared_part_digests([b"first", b"fatal"])


def held_exit(number: int) -> ExitPartsReport:
    broken = BrokenPart(PARTS[1], 0.05, f"{number:032x}")
    return ExitPartsReport(UpstreamExit(f"u-{number}", 0), float(number), (broken,))


HELD_PART = PromptPartsTold(tuple(map(held_exit, (1, 2, 3))))


def ask_with_parts(gateway: GatewayWithFakeRunner, body: bytes) -> RecordedAnswer:
    return gateway.ask(body, (b"x-prompt-prefix", b"first:800,fatal:40,%b:9" % body))


def test_requests_that_share_a_held_part_are_refused_before_they_run():
    gateway = GatewayWithFakeRunner(Answered(200))
    gateway.suspects.parts.merge_report("peer", HELD_PART)
    answer = ask_with_parts(gateway, b"1")
    assert answer.status == 503
    assert b"retry-after" not in answer.headers
    assert gateway.ask(b"2").status is None
    assert gateway.runner.sent == 1


def test_an_exit_counts_against_all_parts_of_its_request_but_the_last():
    gateway = GatewayWithFakeRunner(ENDED, LOST, Answered(200))
    ask_with_parts(gateway, b"1")
    evidence = gateway.suspects.parts.quarantine.evidence
    assert [set(parts) for parts in evidence.parts.values()] == [set(PARTS)]
    assert not evidence.open_exits(PARTS[0])


@pytest.mark.parametrize("outcome", [Answered(400), Answered(304)])
def test_an_answer_that_was_not_generated_clears_no_part(outcome):
    """Guards against a fatal part that is cleared by refusals of its requests."""
    gateway = GatewayWithFakeRunner(ENDED, outcome)
    ask_with_parts(gateway, b"1")
    assert gateway.suspects.parts.quarantine.evidence.open_exits(PARTS[1])


def test_a_restart_recalls_which_parts_are_held_back(tmp_path):
    before = GatewayWithFakeRunner().suspects.parts
    before.merge_report("peer", HELD_PART)
    file = SuspectRequestsFile(str(tmp_path))
    document = SuspectRequestsDocument(
        time.time() - 5.0, SuspectRequestsTold(()), before.full_report()
    )
    file.write(msgspec.msgpack.encode(document), 1)
    after = GatewayWithFakeRunner()
    after.suspects.parts.merge_report("10.0.0.1", file.read().parts)
    assert ask_with_parts(after, b"1").status == 503
    (listed,) = after.suspects.listed()
    assert listed.digest == PARTS[1]
    assert listed.last_event_seconds == pytest.approx(6.0, abs=1.0)


def test_a_file_of_an_earlier_build_is_read(tmp_path):
    """Guards against suspects that are forgotten when a gateway is upgraded."""
    file = SuspectRequestsFile(str(tmp_path))
    earlier = (time.time(), SuspectRequestsTold((report("u-1"),)))
    file.write(msgspec.msgpack.encode(earlier), 1)
    stored = file.read()
    assert len(stored.requests.suspects) == 1
    assert stored.parts == PromptPartsTold()


def test_an_operator_releases_a_held_part():
    gateway = GatewayWithFakeRunner(Answered(200))
    gateway.suspects.parts.merge_report("peer", HELD_PART)
    assert gateway.suspects.release(PARTS[1], "operator")
    assert not gateway.suspects.release(PARTS[1], "operator")
    ask_with_parts(gateway, b"1")
    assert gateway.runner.sent == 1


def test_an_invalid_report_of_parts_changes_nothing():
    """Guards against a faulty peer that makes a gateway refuse prompts."""
    gateway = GatewayWithFakeRunner()
    odd = HELD_PART.exits[0]._replace(age_seconds=float("nan"))
    gateway.suspects.parts.merge_report("peer", PromptPartsTold((odd,)))
    assert not gateway.suspects.parts.quarantine.evidence.exits
