"""
Runs days with one kind of fault or a pair of them on the users' benchmark.

``python -m tests.playdays --bench PROGRAM --site FILE [--jobs 3] [--names 'store-*']``
"""

import argparse
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

DAYS = Path(__file__).parent / "days"
# Smallest share of the owed worth that must be earned on a day with one kind of fault
# at its highest intensity.
MIN_SERVED = 0.5
RESULT = re.compile(r"^day .*\n\S+ +\S+ +\S+ +(?P<worth>\S+) +(?P<served>\S+)", re.M)
BROKEN_RULES = re.compile(r"BROKEN: (?P<rules>[A-Z]+ \d+(?:, [A-Z]+ \d+)*)")

# Output of the benchmark if the site does not support the fault.
UNSUPPORTED_TEXT = "is not open"


class UnsupportedDay(NamedTuple):
    """A day with a fault that the site does not support."""

    name: str


class DayResult(NamedTuple):
    """The result of one day; ``served`` is the ratio of earned to owed worth."""

    name: str
    worth: float
    served: float
    broken: str


def parse_result(name: str, text: str) -> DayResult:
    """
    Parse the output of the benchmark for one day.

    :raises ValueError: if the output contains no result.
    """
    match = RESULT.search(text)
    if match is None:
        raise ValueError(f"the benchmark printed no result for {name}: {text[-300:]}")
    broken = BROKEN_RULES.search(text)
    rules = broken["rules"] if broken else ""
    return DayResult(name, float(match["worth"]), float(match["served"]), rules)


def run_day(bench: str, site: str, path: Path) -> DayResult | UnsupportedDay:
    """Run one day, which adds a journal entry unless the site lacks the fault."""
    reason = "one kind of trouble at its strongest, or a pair"
    command = [bench, "run", site, str(path), "--why", reason]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    text = completed.stdout + completed.stderr
    if UNSUPPORTED_TEXT in text:
        return UnsupportedDay(path.stem)
    return parse_result(path.stem, text)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--names", default="*")
    options = parser.parse_args()
    paths = sorted(DAYS.glob(f"{options.names}.toml"))
    with ThreadPoolExecutor(options.jobs) as pool:
        outcomes = list(
            pool.map(lambda path: run_day(options.bench, options.site, path), paths)
        )
    results = [day for day in outcomes if isinstance(day, DayResult)]
    for day in outcomes:
        if isinstance(day, UnsupportedDay):
            print(f"{day.name} not run: the site does not support its fault")
    for day in sorted(results, key=lambda day: day.served):
        mark = day.broken or ("below the minimum" if day.served < MIN_SERVED else "")
        print(f"{day.served:.3f} {day.worth:.3f} {day.name} {mark}")
    failed = [day for day in results if day.broken or day.served < MIN_SERVED]
    print(
        f"{len(results)} days, {len(failed)} with a rule broken or below {MIN_SERVED}"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
