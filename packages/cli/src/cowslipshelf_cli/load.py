"""Export the load generator to benchmarks: drawing, sending and statistics."""

from cowslipshelf_cli.internal.load.open_loop import LoadClock, run_open_loop
from cowslipshelf_cli.internal.load.outcome import Ending, Outcome
from cowslipshelf_cli.internal.load.sender import Sender, SenderConfig
from cowslipshelf_cli.internal.load.shape import (
    Arrival,
    CustomerShare,
    LoadShape,
    LoadShapeError,
    check_shape,
    draw_arrivals,
)
from cowslipshelf_cli.internal.load.statistics import (
    FiguresConfig,
    LoadFigures,
    Quantiles,
    UnloadedTime,
    summarize,
)

__all__ = [
    "Arrival",
    "CustomerShare",
    "Ending",
    "FiguresConfig",
    "LoadFigures",
    "LoadShape",
    "LoadShapeError",
    "Outcome",
    "LoadClock",
    "Quantiles",
    "Sender",
    "SenderConfig",
    "UnloadedTime",
    "check_shape",
    "draw_arrivals",
    "run_open_loop",
    "summarize",
]
