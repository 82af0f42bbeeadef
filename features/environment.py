"""Add the packages to the path, and print the fault matrix after the run."""

import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
for folder in (ROOT / "tests", *sorted(ROOT.glob("packages/*/src"))):
    sys.path.insert(0, str(folder))


class Matrix:
    """Count the rows run and failed, by feature, fault and step."""

    def __init__(self) -> None:
        self.tried: Counter[tuple[str, str, str]] = Counter()
        self.failed: Counter[tuple[str, str, str]] = Counter()

    def count(self, feature: str, fault: str, step: str, held: bool) -> None:
        """Count one run of a row."""
        self.tried[feature, fault, step] += 1
        self.failed[feature, fault, step] += not held

    def table(self, feature: str) -> list[str]:
        """Return a Markdown table of the results of one feature."""
        cells = [cell for cell in self.tried if cell[0] == feature]
        steps = list(dict.fromkeys(step for _, _, step in cells))
        lines = [
            f"### {feature}",
            "",
            "| fault | " + " | ".join(steps) + " |",
            "| --- |" + " --- |" * len(steps),
        ]
        for fault in dict.fromkeys(fault for _, fault, _ in cells):
            row = [self.cell(feature, fault, step) for step in steps]
            lines.append(f"| {fault} | " + " | ".join(row) + " |")
        return lines

    def cell(self, feature: str, fault: str, step: str) -> str:
        """Return the text of one cell."""
        tried = self.tried[feature, fault, step]
        if not tried:
            return "–"
        failed = self.failed[feature, fault, step]
        text = "held" if not failed else "FAILED"
        return text if tried == 1 else f"{tried - failed} of {tried} held"

    def report(self) -> str:
        """Return the tables of all features, and the totals."""
        lines = []
        for feature in dict.fromkeys(cell[0] for cell in self.tried):
            lines += ["", *self.table(feature)]
        tried, failed = self.tried.total(), self.failed.total()
        lines += ["", f"Rows tried {tried}, held {tried - failed}, failed {failed}."]
        return "\n".join(lines)


def before_all(context):
    context.matrix = Matrix()


def before_scenario(context, scenario):
    context.row = None


def after_scenario(context, scenario):
    if context.row is not None:
        held = scenario.status.name == "passed"
        context.matrix.count(scenario.feature.name, *context.row, held)


def after_all(context):
    print(context.matrix.report())
