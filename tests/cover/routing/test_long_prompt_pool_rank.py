"""Check that the rank of an upstream does not depend on the process."""

from cowslipshelf_core.identifiers import ConfigurationVersion, UpstreamId
from cowslipshelf_core.internal.routing.long_prompt_pool import rank

VERSION = ConfigurationVersion(7)
EXPECTED_RANKS = ["aa7869cc31bc8a1a", "96ba9b1a54a87dc9"]


def test_the_rank_of_an_upstream_is_the_same_in_every_process():
    """Each entry ranks the upstreams by a hash, without asking the others.

    A hash that differs between processes, as Python's `hash` of strings does, would
    give every entry its own pool, and long prompts would slow short ones everywhere.
    No test within one process sees that, so the ranks are compared with constants.
    """
    ranks = [rank(VERSION, UpstreamId(name)).hex() for name in ("scribe-3", "scribe-4")]
    assert ranks == EXPECTED_RANKS
