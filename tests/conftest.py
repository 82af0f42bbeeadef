"""Give every run of the tests the same examples, so that it has the same verdict."""

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
OUR_FOLDERS = tuple(
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


def is_our_module(path: str) -> bool:
    """Tell whether a module is ours, wherever the checkout lies."""
    return any(Path(path).is_relative_to(folder) for folder in OUR_FOLDERS)


def look_for_constants_in_our_modules_only() -> None:
    """Let Hypothesis try the same constants in every checkout.

    It takes them from modules that it holds for local, by the names of the folders
    above them and by the working directory: the same test saw other examples, and
    had another verdict, in a copy elsewhere. A version without this function must
    not be taken without another way to the same end.
    """
    assert callable(providers.is_local_module_file)
    providers.is_local_module_file = is_our_module


def import_every_module() -> None:
    """Import all our modules before any example is drawn.

    Hypothesis tries constants that it finds in the modules loaded so far. With modules
    loaded as tests need them, a test would see other examples when it runs alone, or
    after others, and a failure would come and go.
    """
    for name in PACKAGES:
        package = importlib.import_module(name)
        for module in pkgutil.walk_packages(package.__path__, f"{name}."):
            if not module.name.endswith(PROGRAM_MODULE):
                importlib.import_module(module.name)


look_for_constants_in_our_modules_only()
import_every_module()
