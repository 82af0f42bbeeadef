"""Reconstruct the history of one request from the logs of several processes."""

from datetime import timedelta
from typing import NamedTuple

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.commands import Explain
from cowslipshelf_cli.internal.failures import CommandFailedError
from cowslipshelf_cli.internal.output import Writer
from cowslipshelf_host.log_entries import LogEntry, read_entries

RELATED_WINDOW = timedelta(seconds=5)
"""Time before and after a request in which events of its upstreams and of its own
process belong to its history: heartbeats and restarts take seconds."""
PROCESS_EVENTS = frozenset(
    {"gateway: Started.", "gateway: Leaving.", "gateway: Left.", "gateway: Ended."}
)


class RequestHistory(NamedTuple):
    """Hold the log entries of one request, and how and why it ended."""

    request: str
    cause: str
    entries: tuple[LogEntry, ...]

    def lines(self) -> list[str]:
        """Return the history as text."""
        return [*(entry.text() for entry in self.entries), f"cause: {self.cause}"]

    def document(self) -> dict:
        """Return the history as a document for scripts."""
        entries = [{"source": e.source, **e.fields} for e in self.entries]
        return {"request": self.request, "cause": self.cause, "entries": entries}


def explain_from_logs(command: Explain, writer: Writer) -> ExitCode:
    """Show a request's history from log files."""
    entries = list(read_entries(command.log))
    history = request_history(command.name, entries)
    if history is None:
        raise CommandFailedError(
            ExitCode.REFUSED,
            f"no line of these logs names request {command.name}",
            "give the logs of all processes that callers reach, of that time",
        )
    writer.show(history.document(), history.lines())
    return ExitCode.DONE


def request_history(request: str, entries: list[LogEntry]) -> RequestHistory | None:
    """Select the entries of a request in order of time, and find the cause."""
    own = [entry for entry in entries if entry.fields.get("request") == request]
    if not own:
        return None
    first = min(entry.at for entry in own) - RELATED_WINDOW
    last = max(entry.at for entry in own) + RELATED_WINDOW
    sources = {entry.source for entry in own}
    upstreams = {entry.fields.get("upstream") for entry in own} - {None}
    related = [
        entry
        for entry in entries
        if first <= entry.at <= last
        and "request" not in entry.fields
        and is_related(entry, sources, upstreams)
    ]
    ordered = sorted([*own, *related], key=lambda entry: entry.at)
    return RequestHistory(request, cause_of(ordered, own), tuple(ordered))


def is_related(entry: LogEntry, sources: set[str], upstreams: set[str]) -> bool:
    """Return whether an entry without a request's id is part of the history."""
    if entry.source not in sources:
        return False
    named = {entry.fields.get("upstream"), entry.fields.get("former")}
    return entry.event in PROCESS_EVENTS or bool(named & upstreams)


def cause_of(ordered: list[LogEntry], own: list[LogEntry]) -> str:
    """Return in a sentence how the request ended, and why."""
    ends = [entry for entry in own if entry.event == "request: Request ended."]
    if not ends:
        return cause_without_end(ordered, own)
    outcome = ends[-1].fields.get("outcome")
    if outcome == "caller left":
        return cause_of_caller_leaving(ends[-1], own)
    unconfigured = last_of(own, "request: No configuration.")
    if unconfigured is not None:
        waited = unconfigured.fields.get("waited")
        return f"answered 503: no configuration was known within {waited} s"
    refused = last_of(own, "request: Request refused.")
    if refused is not None:
        return cause_of_refusal(refused, own)
    cut = last_of(own, "request: Answer cut.")
    if cut is not None:
        return cause_of_cut(cut, own)
    if outcome == "404":
        return f"no route under version {ends[-1].fields.get('version')}"
    if outcome == "401":
        return f"no customer has the key under version {ends[-1].fields.get('version')}"
    return f"answered {outcome}{failing_upstreams(own)}"


def failing_upstreams(own: list[LogEntry]) -> str:
    """List the upstreams that ran a request and failed, if the last one failed."""
    ends = [entry.fields for entry in own if entry.event == "request: Attempt ended."]
    if not ends or ends[-1].get("outcome") != "FailedThere":
        return ""
    failed = [e.get("upstream") for e in ends if e.get("outcome") == "FailedThere"]
    return f" by upstreams that ran it and failed: {', '.join(map(str, failed))}"


def cause_of_caller_leaving(end: LogEntry, own: list[LogEntry]) -> str:
    """Return when a caller left, and which upstream it waited for."""
    text = f"the caller left after {end.fields.get('seconds')} s"
    begun = last_of(own, "request: Attempt begins.")
    if begun is None:
        return text
    upstream, predicted = begun.fields.get("upstream"), begun.fields.get("predicted")
    return f"{text}; upstream {upstream} was to begin after {predicted} s"


def cause_without_end(ordered: list[LogEntry], own: list[LogEntry]) -> str:
    """Return why no end is logged: the process or the log ended first."""
    begun = max(entry.at for entry in own)
    restart = [
        entry
        for entry in ordered
        if entry.event == "gateway: Started." and entry.at > begun
    ]
    if restart:
        return f"its process ended without a word and started again: {restart[0].at}"
    return "no end is logged: the process was killed, or the log ends before it"


def cause_of_refusal(refused: LogEntry, own: list[LogEntry]) -> str:
    """Return why the gateway itself answered a request with an error."""
    fields = refused.fields
    ran = "may have run" if fields.get("may_have_run") else "did not run"
    text = f"answered {fields.get('status')}: {fields.get('reason')}; it {ran}"
    return f"{text}{last_attempt(own)}"


def cause_of_cut(cut: LogEntry, own: list[LogEntry]) -> str:
    """Return why an answer broke off after it had begun."""
    fields = cut.fields
    text = f"cut after event {fields.get('last_event')}: {fields.get('reason')}"
    return f"{text}{last_attempt(own)}"


def last_attempt(own: list[LogEntry]) -> str:
    """Return the error of the last attempt, if any."""
    attempt = last_of(own, "request: Attempt ended.")
    if attempt is None or not attempt.fields.get("detail"):
        return ""
    upstream = attempt.fields.get("upstream")
    return f"; upstream {upstream}: {attempt.fields.get('detail')}"


def last_of(entries: list[LogEntry], event: str) -> LogEntry | None:
    """Return the last entry of an event, if any."""
    return next((entry for entry in reversed(entries) if entry.event == event), None)
