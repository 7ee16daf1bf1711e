"""Which instance is asked for a place: the owner of a pool, its deputy, or none.

An instance that did not answer in time, or that said that it is busy, is not asked for a while. All
instances agree on the deputy, so the requests of all that do not ask the owner are placed by one
shared view. Only if the deputy cannot be asked either does an instance place by itself. After that
time one request asks again, and the others do so once it has an answer: if all did, all would wait
for an instance that is still silent.
"""

from collections.abc import Collection

from lagoonfold.placement._pool_duties import PoolDuty

TRIAL_S = 0.65  # in which the one request that asks again has an answer, or the asker gives up
SILENT_S = 0.5  # after an instance did not answer; by then it is known whether it is lost
BUSY_S = 0.5  # after one said that it is busy: 72 instances then ask it 144 times a second at most


class OwnerTrust:
    """Remembers which instances are not to be asked. Times are in seconds.

    trust = OwnerTrust()
    duty = PoolDuty(owner="i1", deputy="i2")
    trust.next_to_ask(duty, asked=(), now_s=0.0)    # "i1"
    trust.record_busy("i1", now_s=0.0)
    trust.next_to_ask(duty, asked=(), now_s=0.1)    # "i2"
    """

    def __init__(self) -> None:
        self._until_s_by_id: dict[str, float] = {}

    def record_silent(self, instance_id: str, *, now_s: float) -> None:
        """Record that an instance did not answer in time."""
        self._until_s_by_id[instance_id] = now_s + SILENT_S

    def record_busy(self, instance_id: str, *, now_s: float) -> None:
        """Record that an instance said that it is busy."""
        self._until_s_by_id[instance_id] = now_s + BUSY_S

    def record_answered(self, instance_id: str) -> None:
        """Record that an instance looked for a place in time."""
        self._until_s_by_id.pop(instance_id, None)

    def next_to_ask(
        self, duty: PoolDuty, *, asked: Collection[str], now_s: float, owner_only: bool = False
    ) -> str | None:
        """Return the instance to ask after those already asked, None to place without asking.

        The caller asks it and records the outcome.
        """
        for instance_id in (duty.owner,) if owner_only else (duty.owner, duty.deputy):
            if instance_id is None or instance_id in asked:
                continue
            until_s = self._until_s_by_id.get(instance_id)
            if until_s is None:
                return instance_id
            if now_s >= until_s:
                self._until_s_by_id[instance_id] = now_s + TRIAL_S
                return instance_id
        return None
