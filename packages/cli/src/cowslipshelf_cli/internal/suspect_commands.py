"""Implement the commands `suspects` and `release`."""

from collections.abc import Iterator

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.command_context import FleetClients
from cowslipshelf_cli.internal.output import Writer, table
from cowslipshelf_operators import SuspectsAnswer, SuspectStatus

HEAD = ("digest", "state", "probe in", "last end", "upstreams that ended")


def show_suspects(fleet: FleetClients, writer: Writer) -> ExitCode:
    """List the requests during which upstreams exited."""
    answer = fleet.any_instance.suspects()
    writer.show(answer, suspect_lines(answer))
    return ExitCode.DONE


def release(digest: str, fleet: FleetClients, writer: Writer) -> ExitCode:
    """Release a request that is held back and list the remaining ones."""
    answer = fleet.any_instance.release(digest)
    writer.show(answer, [f"released {digest}", *suspect_lines(answer)])
    return ExitCode.DONE


def suspect_lines(answer: SuspectsAnswer) -> Iterator[str]:
    """Format the requests as a table."""
    yield f"known to {answer.answered_by}"
    yield from table(HEAD, map(suspect_row, answer.suspects))
    if not answer.suspects:
        yield "no upstream has ended under a request"


def suspect_row(suspect: SuspectStatus) -> tuple[str, ...]:
    """Describe one request."""
    return (
        suspect.digest,
        "held back" if suspect.held else "runs",
        f"{suspect.probe_in_seconds:.0f} s" if suspect.held else "-",
        f"{suspect.last_end_seconds:.0f} s ago",
        ", ".join(suspect.upstreams),
    )
