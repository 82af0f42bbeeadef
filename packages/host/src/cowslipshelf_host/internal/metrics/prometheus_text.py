"""Format samples in the Prometheus text format."""

import math
from collections.abc import Iterator, Sequence

from cowslipshelf_host.internal.metrics.series import Sample

Labels = Sequence[tuple[str, str]]


def metric_lines(
    name: str, kind: str, help_text: str, samples: Sequence[tuple[Labels, Sample]]
) -> Iterator[str]:
    """Yield the lines of one metric with all its samples."""
    if help_text:
        yield f"# HELP {name} {escape(help_text)}"
    yield f"# TYPE {name} {kind}"
    for labels, sample in samples:
        combined = [*labels]
        if sample.quantile is not None:
            combined.append(("quantile", f"{sample.quantile:g}"))
        yield f"{name}{sample.suffix}{labels_text(combined)} {value_text(sample.value)}"


def labels_text(labels: Labels) -> str:
    """Return labels in braces, or an empty text if there are none."""
    if not labels:
        return ""
    pairs = (f'{key}="{escape(value, quoted=True)}"' for key, value in labels)
    return "{" + ",".join(pairs) + "}"


def escape(text: str, *, quoted: bool = False) -> str:
    """Escape characters that the format reserves or that UTF-8 can't encode."""
    encodable = text.encode("utf-8", "backslashreplace").decode("utf-8")
    safe = encodable.replace("\\", "\\\\").replace("\n", "\\n")
    return safe.replace('"', '\\"') if quoted else safe


def value_text(value: float) -> str:
    """Return a number in the notation of the format."""
    if math.isnan(value):
        return "NaN"
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    return str(int(value)) if value == int(value) else repr(float(value))
