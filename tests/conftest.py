"""Make Hypothesis draw the same examples in every run and every checkout."""

import importlib
import pkgutil
from pathlib import Path

from hypothesis import HealthCheck, settings
from hypothesis.internal.conjecture import providers

PACKAGES = (
    "cowslipshelf_core",
    "cowslipshelf_host",
    "cowslipshelf_fleet",
    "cowslipshelf_callers",
    "cowslipshelf_operators",
    "cowslipshelf_upstreams",
    "cowslipshelf_weightstore",
    "cowslipshelf_daemon",
    "cowslipshelf_cli",
    "cowslipshelf_standins",
    "cowslipshelf_adapter",
)
PROGRAM_MODULE = "__main__"
SOURCE_FOLDERS = tuple(
    Path(__file__).parents[1] / name for name in ("packages", "platform")
)

settings.register_profile(
    "same-verdict",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile("same-verdict")


def is_repository_file(path: str) -> bool:
    """Return whether a file belongs to this repository, wherever it is checked out."""
    return any(Path(path).is_relative_to(folder) for folder in SOURCE_FOLDERS)


def limit_constants_to_repository() -> None:
    """Make Hypothesis collect constants from this repository's modules only.

    It collects them from modules that it considers local, judged by parent folder
    names and the working directory. The same test then saw other examples, and had
    another result, in a checkout elsewhere. Don't upgrade to a version that lacks the
    patched function before there is a replacement for it.
    """
    assert callable(providers.is_local_module_file)
    providers.is_local_module_file = is_repository_file


def import_all_modules() -> None:
    """Import all modules of this repository before any example is drawn.

    Hypothesis tries constants that it finds in the modules loaded so far. If tests
    loaded modules on demand, a test's examples would depend on which tests ran before
    it, and its failures would be intermittent.
    """
    for name in PACKAGES:
        package = importlib.import_module(name)
        for module in pkgutil.walk_packages(package.__path__, f"{name}."):
            if not module.name.endswith(PROGRAM_MODULE):
                importlib.import_module(module.name)


limit_constants_to_repository()
import_all_modules()
