"""Generate docs/SETTINGS.md: `python -m cowslipshelf_host.settings_page FILE`."""

import sys
from pathlib import Path

from cowslipshelf_host.internal.settings.page import render_settings_page

__all__ = ["render_settings_page"]


def main(arguments: list[str]) -> None:
    """Write the page to the file given as the only argument."""
    (target,) = arguments
    Path(target).write_text(render_settings_page(), encoding="utf-8")


if __name__ == "__main__":
    main(sys.argv[1:])
