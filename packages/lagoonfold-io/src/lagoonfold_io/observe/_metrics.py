"""Counters by reason, gauges and latency histograms, in the Prometheus text format.

metrics = Metrics()
metrics.count("refusals", "rate-exceeded")
metrics.record("call", 0.012)
metrics.render()   # lagoonfold_refusals_total{reason="rate-exceeded"} 1 ...
"""

from collections import defaultdict
from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

_MICROSECONDS_PER_S = 1_000_000
_MAX_LATENCY_US = 3_600 * _MICROSECONDS_PER_S
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_PREFIX = "lagoonfold"


class Metrics:
    """The counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self._counts_by_name: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        self._gauges_by_name: dict[str, float] = {}
        self._histograms_by_name: dict[str, _Latency] = {}

    def count(self, name: str, reason: str = "", amount: float = 1) -> None:
        """Add an amount to the counter with this name and reason."""
        self._counts_by_name[name][reason] += amount

    def counter_value(self, name: str, reason: str = "") -> float:
        """Return the value of a counter, zero if it was never increased."""
        return self._counts_by_name[name][reason] if name in self._counts_by_name else 0

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to a value."""
        self._gauges_by_name[name] = value

    def record(self, name: str, seconds: float) -> None:
        """Record a latency in seconds; the histogram keeps two significant digits."""
        latency = self._histograms_by_name.get(name)
        if latency is None:
            latency = self._histograms_by_name[name] = _Latency()
        latency.record(seconds)

    def quantile_s(self, name: str, percentile: float) -> float:
        """Return a percentile of the recorded latencies in seconds, zero if there are none."""
        latency = self._histograms_by_name.get(name)
        return latency.quantile_s(percentile) if latency is not None else 0.0

    def counts(self) -> Mapping[str, Mapping[str, float]]:
        """Return the counters by name, then by reason."""
        return {name: dict(counts) for name, counts in self._counts_by_name.items()}

    def render(self) -> str:
        """Return all values in the Prometheus text format."""
        lines: list[str] = []
        for name, counts in sorted(self._counts_by_name.items()):
            lines.extend(_render_counter(name, counts))
        for name, value in sorted(self._gauges_by_name.items()):
            lines.append(f"# TYPE {_PREFIX}_{name} gauge")
            lines.append(f"{_PREFIX}_{name} {value:g}")
        for name, latency in sorted(self._histograms_by_name.items()):
            lines.extend(latency.render(name))
        return "\n".join(lines) + "\n"


class _Latency:
    """A histogram of latencies with their sum."""

    __slots__ = ("_histogram", "_sum_s")

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self._sum_s = 0.0

    def record(self, seconds: float) -> None:
        microseconds = int(seconds * _MICROSECONDS_PER_S)
        self._histogram.record_value(min(max(1, microseconds), _MAX_LATENCY_US))
        self._sum_s += seconds

    def quantile_s(self, percentile: float) -> float:
        return self._histogram.get_value_at_percentile(percentile) / _MICROSECONDS_PER_S

    def render(self, name: str) -> list[str]:
        metric = f"{_PREFIX}_{name}_seconds"
        lines = [f"# TYPE {metric} summary"]
        for percentile in _PERCENTILES:
            quantile = f'{metric}{{quantile="{percentile / 100:g}"}}'
            lines.append(f"{quantile} {self.quantile_s(percentile):g}")
        lines.append(f"{metric}_sum {self._sum_s:g}")
        lines.append(f"{metric}_count {self._histogram.get_total_count()}")
        return lines


def _render_counter(name: str, counts: Mapping[str, float]) -> list[str]:
    metric = f"{_PREFIX}_{name}_total"
    lines = [f"# TYPE {metric} counter"]
    for reason, value in sorted(counts.items()):
        label = f'{{reason="{_escape(reason)}"}}' if reason else ""
        lines.append(f"{metric}{label} {value:.17g}")
    return lines


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
