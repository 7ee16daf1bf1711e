"""Runs an instance's background tasks so that a failure of one costs only its own work.

An instance serves requests from the same event loop. A task that fails is logged with its trace and
counted in `task_failures`; a duty, which runs as long as the instance does, is started again. What
ends the process instead is decided in `Gateway.start` and `StorageNode.start`.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from lagoonfold_io.observe import EventLog, Metrics

RESTART_PAUSE_S = 0.5  # a duty that fails each time costs little processor time

_log = EventLog("tasks")


class TaskStarter(Protocol):
    """Starts tasks; a `trio.Nursery` is one, in which a task that fails ends all others."""

    def start_soon(self, task: Callable[..., Awaitable[object]], *args: object) -> None:
        """Start a task with these arguments."""


class BackgroundTasks:
    """Starts tasks whose failures stay their own, in a nursery.

    tasks = BackgroundTasks(nursery, metrics)
    tasks.start_duty(watch.run)
    tasks.start_soon(say_hello, "i-2")
    """

    def __init__(self, nursery: trio.Nursery, metrics: Metrics) -> None:
        self._nursery = nursery
        self._metrics = metrics

    def start_soon(self, task: Callable[..., Awaitable[object]], *args: object) -> None:
        """Start a task that runs once."""
        self._nursery.start_soon(self._run_once, task, *args)

    def start_duty(self, duty: Callable[[], Awaitable[object]]) -> None:
        """Start a task that runs until cancelled, again after each failure."""
        self._nursery.start_soon(self._run_duty, duty)

    async def _run_once(self, task: Callable[..., Awaitable[object]], *args: object) -> bool:
        try:
            await task(*args)
        except Exception as error:
            record_failure(task, error, self._metrics)
            return False
        return True

    async def _run_duty(self, duty: Callable[[], Awaitable[object]]) -> None:
        while not await self._run_once(duty):
            await trio.sleep(RESTART_PAUSE_S)


def record_failure(task: object, error: Exception, metrics: Metrics) -> None:
    """Log the failure of a task or a message handler with its trace, and count it by name."""
    name = getattr(task, "__qualname__", repr(task))
    metrics.count("task_failures", name)
    _log.error("task.failed", error, task=name)
