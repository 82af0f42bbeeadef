"""Check that the rank of an upstream doesn't depend on the process."""

from cowslipshelf_core.identifiers import ConfigurationVersion, UpstreamId
from cowslipshelf_core.internal.routing.long_prompt_pool import rank

VERSION = ConfigurationVersion(7)
RANKS_FOR_GOOD = ["aa7869cc31bc8a1a", "96ba9b1a54a87dc9"]


def test_the_rank_of_an_upstream_is_the_same_in_every_process():
    """Long prompts slow short ones on upstreams that other entries keep free.

    Each entry ranks the upstreams by a hash, without a word to the others. A hash
    that differs from process to process, as the language's own does, gives every
    entry its own set; no test within one process can see that.
    """
    ranks = [rank(VERSION, UpstreamId(name)).hex() for name in ("scribe-3", "scribe-4")]
    assert ranks == RANKS_FOR_GOOD
