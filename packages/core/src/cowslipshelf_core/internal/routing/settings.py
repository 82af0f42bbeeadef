"""Define the settings of the router."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import DataCentre


class RouterConfig(NamedTuple):
    """Be everything that tunes the router; times in seconds, sizes in tokens."""

    data_centre: DataCentre = DataCentre("")
    other_data_centre_seconds: float = 0.01
    """Harm that a placement in another data centre is taken to do."""
    sampled_choices: int = 4
    """Upstreams looked at for each placement, within each set."""
    long_prompt_tokens: int = 100_000
    """Prompts above this are long."""
    report_lag_seconds: float = 0.25
    """How old a load report may be when it arrives."""
