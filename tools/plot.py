"""Plots the goodput and the number of role changes of each policy in an experiment."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any


def draw(summary: dict[str, Any], title: str, path: str) -> None:
    """
    Draw a bar chart of the goodput, with one bar per policy.

    The error bars span the lowest and the highest run. The number of role changes in
    each run stands inside the bar.

    :param summary: results by policy, as ``tools.experiment`` writes them.
    :param title: title of the chart.
    :param path: path of the SVG or PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(summary)
    means = [summary[name]["goodput_mean"] for name in names]
    lower_errors = [
        mean - min(summary[name]["goodput_each"])
        for name, mean in zip(names, means, strict=True)
    ]
    upper_errors = [
        max(summary[name]["goodput_each"]) - mean
        for name, mean in zip(names, means, strict=True)
    ]
    figure, axes = pyplot.subplots(figsize=(8, 4))
    bars = axes.bar(names, means, yerr=[lower_errors, upper_errors], capsize=4)
    for bar, name in zip(bars, names, strict=True):
        changes = ", ".join(str(count) for count in summary[name]["role_changes"])
        label_position = (bar.get_x() + bar.get_width() / 2, 0.03)
        axes.annotate(f"changes\n{changes}", label_position, ha="center", color="white")
    axes.set_ylim(0, 1.05)
    axes.set_ylabel("goodput (share of answers whole and within target)")
    axes.set_title(title)
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Plot the summary in a results file to an image file."""
    source, title, path = sys.argv[1:]
    draw(json.loads(Path(source).read_text())["summary"], title, path)


if __name__ == "__main__":
    main()
