"""Draws the summary of an experiment: goodput with its spread, and role changes."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any


def draw(summary: dict[str, Any], title: str, path: str) -> None:
    """
    Draw one bar for each policy.

    :param summary: as ``tools.experiment`` writes it.
    :param title: above the plot.
    :param path: of the SVG or PNG file.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(summary)
    means = [summary[name]["goodput_mean"] for name in names]
    lows = [
        mean - min(summary[name]["goodput_each"])
        for name, mean in zip(names, means, strict=True)
    ]
    highs = [
        max(summary[name]["goodput_each"]) - mean
        for name, mean in zip(names, means, strict=True)
    ]
    figure, axes = pyplot.subplots(figsize=(8, 4))
    bars = axes.bar(names, means, yerr=[lows, highs], capsize=4)
    for bar, name in zip(bars, names, strict=True):
        changes = ", ".join(str(count) for count in summary[name]["role_changes"])
        place = (bar.get_x() + bar.get_width() / 2, 0.03)
        axes.annotate(f"changes\n{changes}", place, ha="center", color="white")
    axes.set_ylim(0, 1.05)
    axes.set_ylabel("goodput (share of answers whole and within target)")
    axes.set_title(title)
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Draw the summary in one file to another."""
    source, title, path = sys.argv[1:]
    draw(json.loads(Path(source).read_text())["summary"], title, path)


if __name__ == "__main__":
    main()
