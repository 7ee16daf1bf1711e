"""The life of the process: settings, start, and the graceful stop on a signal.

A planned stop cuts no request: readiness goes off and the balancer is given time to notice, the
shards are handed over, running calls end and settle, idle connections close, and the lease ends
last, since it vouches for the calls that are still under way.
"""

import signal
import sys

import trio
from result import Err

from lagoonfold.settings import Settings, load_settings
from lagoonfold_io.observe import configure_logging
from lagoonfold_node._node import Node

EXIT_SETTINGS = 2
BALANCER_NOTICE_S = 1.0
IDLE_POLL_S = 0.05


def run_daemon(settings_path: str) -> int:
    """Run an instance until it is told to stop; return the exit status of the process."""
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
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
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
    """Leave without cutting a request; give up what is left after the setting `drain_s`."""
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
    """Wait until no request, no call and no peer's operation is under way."""
    while node.caller_api.active or node.executor.running_by_call or node.bus.active_calls:
        await trio.sleep(IDLE_POLL_S)
