"""The daemon process: loading of settings, start, and graceful shutdown on a signal.

A planned stop lets all requests finish within `drain_s`: the instance reports that it is not ready
and gives the load balancer time to notice, hands over its shards, closes idle connections, and
waits for running calls to be settled. It gives up its lease last, since running calls rely on it.
"""

import signal
import sys

import trio
from result import Err

from lagoonfold.settings import Settings, load_settings
from lagoonfold_io import receive_signals
from lagoonfold_io.observe import configure_logging
from lagoonfold_node._node import Node

EXIT_SETTINGS = 2
BALANCER_NOTICE_S = 1.0  # for load balancers to stop sending requests
IDLE_POLL_S = 0.05


def run_daemon(settings_path: str) -> int:
    """Run an instance until it is stopped; return the exit status of the process."""
    loaded = load_settings(settings_path)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            sys.stderr.write(f"{fault}\n")
        return EXIT_SETTINGS
    configure_logging(loaded.ok_value.log.level)
    trio.run(run_node, loaded.ok_value)
    return 0


async def run_node(settings: Settings) -> None:
    """Run an instance until SIGTERM or SIGINT."""
    node = Node(settings)
    with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(node.serve)
            async for number in signals:
                node.log.info("node.stopping", signal=signal.Signals(number).name)
                break
            await stop(node)
            nursery.cancel_scope.cancel()
    node.client.close()
    node.log.info("node.stopped")


async def stop(node: Node) -> None:
    """Drain the instance and give up its lease; requests are cut off after `drain_s` seconds."""
    node.board.stopping.write(True)
    node.caller_api.server.announce_close()
    drain_s = node.settings.limits.drain_s
    with trio.move_on_after(drain_s) as drain:
        await trio.sleep(BALANCER_NOTICE_S)
        await node.ownership.hand_over(timeout_s=drain_s)
        node.caller_api.server.begin_shutdown()
        await wait_idle(node)
    if drain.cancelled_caught:
        node.metrics.count("drains_cut")
        node.log.warning("node.drain_cut", requests=node.caller_api.active)
    with trio.move_on_after(drain_s):
        await node.ownership.leave()


async def wait_idle(node: Node) -> None:
    """Wait until no request, call or peer's operation is in progress."""
    while node.caller_api.active or node.executor.running_by_call or node.bus.active_calls:
        await trio.sleep(IDLE_POLL_S)
