"""Implement the command `check`: settings files alone and as one fleet."""

from collections.abc import Sequence

from result import Err, Ok

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.output import Writer
from cowslipshelf_host.settings import (
    LoadedSettings,
    SettingsProblem,
    fleet_problems,
    load_settings,
)


def check(files: Sequence[str], writer: Writer) -> ExitCode:
    """Check files and show every problem in them."""
    problems: list[SettingsProblem] = []
    sound: list[LoadedSettings] = []
    for file in files:
        match load_settings(file):
            case Ok(settings):
                sound.append(LoadedSettings(file, settings))
            case Err(found):
                problems += found
    problems += fleet_problems(sound)
    document = {
        "files": list(files),
        "problems": [problem._asdict() for problem in problems],
    }
    lines = [str(problem) for problem in problems]
    lines.append(f"{len(files)} file(s), {len(problems)} problem(s)")
    if problems:
        lines.append("next: mend these; docs/SETTINGS.md says what each field allows")
    writer.show(document, lines)
    return ExitCode.BAD_SETTINGS if problems else ExitCode.DONE
