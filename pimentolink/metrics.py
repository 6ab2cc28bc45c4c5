"""Metrics of a process: counters, gauges and latency histograms."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

MAX_MICROSECONDS = 3_600_000_000
QUANTILES = (0.5, 0.9, 0.95, 0.99, 0.999)


class Metrics:
    """Collects metrics and exports them in the Prometheus text format."""

    def __init__(self) -> None:
        """Register an empty set of metrics."""
        self._count_by_label: Counter[tuple[str, str]] = Counter()
        self._histogram_by_name: dict[str, HdrHistogram] = {}
        self._gauge_by_name: dict[str, Callable[[], float]] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """
        Increment a counter.

        :param name: name of the counter, without the prefix ``pimentolink_``.
        :param label: value of the label ``kind``, such as an outcome.
        :param amount: number to add.
        """
        self._count_by_label[name, label] += amount

    def record(self, name: str, seconds: float) -> None:
        """
        Record a duration.

        :param name: name of the histogram, without prefix and unit.
        :param seconds: the duration.
        """
        if name not in self._histogram_by_name:
            self._histogram_by_name[name] = HdrHistogram(1, MAX_MICROSECONDS, 2)
        microseconds = max(1, int(seconds * 1e6))
        self._histogram_by_name[name].record_value(min(microseconds, MAX_MICROSECONDS))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """
        Register a gauge whose value is read on each export.

        :param name: name of the gauge, without the prefix ``pimentolink_``.
        :param read: returns the current value.
        """
        self._gauge_by_name[name] = read

    def quantile(self, name: str, quantile: float) -> float:
        """
        Estimate a quantile of a histogram.

        :param name: name of the histogram, without prefix and unit.
        :param quantile: from 0 to 1.
        :returns: seconds; 0 if nothing was recorded.
        """
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(quantile * 100) / 1e6

    def text(self) -> bytes:
        """Export all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics; called by the Prometheus client library."""
        counters: dict[str, CounterMetricFamily] = {}
        for (name, label), count in sorted(self._count_by_label.items()):
            family = counters.setdefault(
                name, CounterMetricFamily(f"pimentolink_{name}", name, labels=["kind"])
            )
            family.add_metric([label], count)
        yield from counters.values()
        for name, read in self._gauge_by_name.items():
            yield GaugeMetricFamily(f"pimentolink_{name}", name, value=read())
        for name in self._histogram_by_name:
            yield self._quantiles(name)

    def _quantiles(self, name: str) -> Metric:
        family = GaugeMetricFamily(
            f"pimentolink_{name}_seconds", name, labels=["quantile"]
        )
        for quantile in QUANTILES:
            family.add_metric([str(quantile)], self.quantile(name, quantile))
        return family
