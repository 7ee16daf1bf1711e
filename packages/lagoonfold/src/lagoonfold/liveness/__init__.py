"""Which instances of a fleet are live, found with a few messages an instance at any size.

Each instance is watched by `WATCHERS` others, its successors on a ring, to which alone it sends its
heartbeats. A watcher that finds it lost tells all; an instance that joins, leaves or was wrongly
told lost tells all itself. So an instance exchanges a fixed number of messages in quiet times, and
one message for each instance when one of them changes. What was missed is found by comparing
digests with the watchers and with one instance drawn at random.

    table = StatusTable()
    table.merge(InstanceStatus(instance="i-1", start_id="s-1", number=1))    # True: it changed
    table.live_ids()    # ("i-1",)
    table.ring.watchers_of("i-1")    # (), as there is no other
"""

from lagoonfold.liveness._capacity import DEFAULT_CORES, is_capacity, usable_cores
from lagoonfold.liveness._feed_sources import FeedPlan, plan_feeds
from lagoonfold.liveness._initial_members import DISCOVERY_S, InitialMembers
from lagoonfold.liveness._relay_paths import RelayPaths
from lagoonfold.liveness._ring import WATCHERS, Ring
from lagoonfold.liveness._silence import SilenceTracker
from lagoonfold.liveness._status_table import LEAVING, LIVE, LOST, InstanceStatus, StatusTable

__all__ = [
    "DEFAULT_CORES",
    "DISCOVERY_S",
    "LEAVING",
    "LIVE",
    "LOST",
    "WATCHERS",
    "FeedPlan",
    "InitialMembers",
    "InstanceStatus",
    "RelayPaths",
    "Ring",
    "SilenceTracker",
    "StatusTable",
    "is_capacity",
    "plan_feeds",
    "usable_cores",
]
