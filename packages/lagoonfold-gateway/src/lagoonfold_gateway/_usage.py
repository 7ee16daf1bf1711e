"""Logs what an instance used since the line before: processor time, messages, calls to the store.

The counters are also served with the metrics; the line shows them beside the decisions of the same
time, so that a shortage of processor time can be told from a wrong decision.
"""

import time
from collections.abc import Mapping

import trio

from lagoonfold_gateway._clock import now_s
from lagoonfold_io.observe import EventLog, Metrics

USAGE_INTERVAL_S = 10.0  # six lines a minute; an instance's load changes within seconds

_log = EventLog("usage")


class UsageReporter:
    """Logs the usage of one instance at regular intervals."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._counts_before: dict[str, dict[str, float]] = {}
        self._processor_before_s = 0.0
        self._logged_s = now_s()

    async def run(self) -> None:
        """Log the usage until cancelled."""
        while True:
            await trio.sleep(USAGE_INTERVAL_S)
            self.log()

    def log(self) -> None:
        """Log the usage since the line before, or since the start."""
        now, processor_s = now_s(), time.process_time()
        _log.info(
            "instance.usage",
            span_s=round(now - self._logged_s, 2),
            processor_s=round(processor_s - self._processor_before_s, 4),
            sent=self._counted_since("peer_messages_sent"),
            received=self._counted_since("peer_messages_received"),
            store_calls=self._counted_since("store_calls"),
            requests=self._counted_since("requests"),
        )
        self._logged_s, self._processor_before_s = now, processor_s

    def _counted_since(self, name: str) -> Mapping[str, int]:
        counts = dict(self._metrics.counts().get(name, {}))
        before = self._counts_before.get(name, {})
        self._counts_before[name] = counts
        grown = {reason: int(count - before.get(reason, 0)) for reason, count in counts.items()}
        return {reason: count for reason, count in grown.items() if count}
