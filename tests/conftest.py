"""Give every run of the tests the same examples, so that it has the same verdict."""

import importlib
import pkgutil

from hypothesis import HealthCheck, settings

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
)
PROGRAM_MODULE = "__main__"

settings.register_profile(
    "same-verdict",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile("same-verdict")


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


import_every_module()
