"""Who owns a shard: takeover, the journal as the fence, and writes whose answers are lost.

Two instances, one shard. The ownership table gives the shard to an instance under an epoch that
grows with every change; it may change at any moment, since a lease may lapse at any moment. An
instance has authority for one lease from before it last asked the table, and loses it as time
passes; a pause is any stretch in which an instance takes no step. A new owner waits until all
authority from before the change has lapsed, recovers, and appends a fence entry.

An append creates the key of its sequence number if it is absent. It travels: the store may apply
it long after its writer has given up waiting or has died. A writer that gave up asks again with
the identical write, so that a copy of it may arrive after the writer has gone on. Whoever carries
an append, alone or with those of other shards, changes neither its number nor its entry, and
holds no state of its own: one that is paused is an append that travels. Entries covered by a
checkpoint are deleted, but for fences: a former owner's next append goes to the number of its
successor's fence, and would succeed if that key were gone. A checkpoint replaces only the one that
its writer read or wrote, and entries are deleted only after it is in place.
"""

from collections.abc import Iterator
from enum import Enum

from minicheck import Protocol

from models._ownership_state import (
    FENCE,
    MAX_ENTRIES,
    MAX_EPOCH,
    MAX_RECORDS,
    Checkpoint,
    Entry,
    Instance,
    Mode,
    State,
    Write,
    append,
    opened,
    with_instance,
)
from models._specification import Step, protocol, specification


class Fault(Enum):
    """A deliberate fault of the protocol."""

    NO_CHECK_AFTER_PAUSE = "no-check-after-pause"
    NO_TAKEOVER_WAIT = "no-takeover-wait"
    LEASE_NEVER_LAPSES = "lease-never-lapses"
    LEASE_FROM_ANSWER = "lease-counted-from-the-answer"
    NO_FENCE_ENTRY = "no-fence-entry"
    OVERWRITE = "append-without-compare"
    LOST_MEANS_WRITTEN = "lost-answer-taken-for-success"
    LOST_MEANS_FAILED = "lost-answer-taken-for-failure"
    DELETE_FENCES = "fences-deleted-after-a-checkpoint"
    FENCE_PAST_SUCCESSOR = "fence-past-a-later-owner"
    BLIND_CHECKPOINT = "checkpoint-without-compare"
    CARRIER_NUMBERS = "number-chosen-by-the-carrier"


class _Steps:
    """The steps of the protocol, sound or with one fault."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def __call__(self, state: State) -> Iterator[Step]:
        yield from self._platform(state)
        for index, instance in enumerate(state.instances):
            for label, following in self._instance(state, index, instance):
                yield f"{label} {'AB'[index]}", following

    def _platform(self, state: State) -> Iterator[Step]:
        if state.epoch < MAX_EPOCH:
            yield "change owner", state._replace(
                owner=1 - state.owner, epoch=state.epoch + 1, has_waited=False
            )
        if not state.has_waited:
            yield "lease time passes", self._lapse_former(state)
        for write in state.writes:
            yield from self._apply(state, write, state._replace(writes=state.writes - {write}))
            if not state.has_copied:
                yield from self._apply(state, write, state._replace(has_copied=True))
        for checkpoint in state.checkpoints:
            yield "store checkpoint of", self._store(state, checkpoint)

    def _lapse_former(self, state: State) -> State:
        former = 1 - state.owner
        has_asked = self._fault is Fault.LEASE_FROM_ANSWER and state.instances[former].has_asked
        keeps = self._fault is Fault.LEASE_NEVER_LAPSES and state.instances[former].has_authority
        lapsed = with_instance(state, former, has_authority=keeps, has_asked=has_asked)
        return lapsed._replace(has_waited=True)

    def _apply(self, state: State, write: Write, rest: State) -> Iterator[Step]:
        """Apply a write; `rest` is the state without it, or with a copy still on its way."""
        journal = state.journal
        if write.sequence >= len(journal) and len(journal) == MAX_ENTRIES:
            return
        at_end = write.sequence == len(journal)
        if self._fault is Fault.CARRIER_NUMBERS:
            at_end = write.entry not in journal
        if at_end:
            answer, after = "done", rest._replace(journal=(*journal, write.entry))
        elif self._is_absent(state, write.sequence):
            answer, after = "done", rest
        elif write.sequence < len(journal) and self._fault is Fault.OVERWRITE:
            kept = (*journal[: write.sequence], write.entry, *journal[write.sequence + 1 :])
            answer, after = "done", rest._replace(journal=kept, overwritten=kept != journal)
        else:
            answer, after = "conflict", rest
        yield "lose the answer to", after
        writer = state.instances[write.instance]
        current = Write(write.instance, writer.known, Entry(writer.epoch, writer.record))
        if writer.mode is Mode.APPENDING and current == write:
            yield f"answer {answer} to", with_instance(after, write.instance, answer=answer)

    def _is_absent(self, state: State, sequence: int) -> bool:
        """Tell whether an entry was deleted; fences stay."""
        if sequence >= state.deleted:
            return False
        is_fence = state.journal[sequence].record == FENCE
        return not is_fence or self._fault is Fault.DELETE_FENCES

    def _store(self, state: State, checkpoint: Checkpoint) -> State:
        """Store a checkpoint if it replaces the expected one; its live writer then deletes."""
        rest = state._replace(checkpoints=state.checkpoints - {checkpoint})
        matches = state.checkpoint == checkpoint.replaced
        if not matches and self._fault is not Fault.BLIND_CHECKPOINT:
            return rest
        stored = rest._replace(checkpoint=checkpoint.covered)
        if not state.instances[checkpoint.instance].has_authority:
            return stored
        known = with_instance(stored, checkpoint.instance, checkpoint=checkpoint.covered)
        return known._replace(deleted=max(state.deleted, checkpoint.covered))

    def _instance(self, state: State, index: int, instance: Instance) -> Iterator[Step]:
        if instance.mode is not Mode.IDLE:
            yield "crash", with_instance(state, index, **Instance()._asdict())
        yield from self._authority(state, index, instance)
        if instance.mode is Mode.IDLE:
            yield from self._open(state, index)
        elif instance.mode is Mode.OPENING and len(state.journal) < MAX_ENTRIES:
            yield "append fence", append(state, index, FENCE)
        elif instance.mode is Mode.OPEN:
            yield from self._act(state, index, instance)
        elif instance.mode is Mode.APPENDING:
            yield from self._take_answer(state, index, instance)
        elif instance.mode is Mode.UNSURE:
            yield from self._resolve(state, index, instance)

    def _authority(self, state: State, index: int, instance: Instance) -> Iterator[Step]:
        if instance.epoch == state.epoch and state.owner == index and not instance.has_asked:
            yield "ask table", with_instance(state, index, has_asked=True)
        if instance.has_asked and instance.mode is not Mode.IDLE:
            yield "hear from table", with_instance(
                state, index, has_authority=True, has_asked=False
            )
        if instance.has_authority:
            yield "lapse", with_instance(state, index, has_authority=False, has_asked=False)

    def _open(self, state: State, index: int) -> Iterator[Step]:
        used = any(other.epoch == state.epoch for other in state.instances)
        waited = state.has_waited or self._fault is Fault.NO_TAKEOVER_WAIT
        written = any(entry.epoch == state.epoch for entry in state.journal)
        written = written or any(write.entry.epoch == state.epoch for write in state.writes)
        if state.owner != index or used or not waited or written:
            return
        fenced = self._fault is not Fault.NO_FENCE_ENTRY
        known = len(state.journal)
        fresh = Instance(
            mode=Mode.OPENING, epoch=state.epoch, known=known, checkpoint=state.checkpoint
        )
        recovered = with_instance(state, index, **fresh._asdict())
        yield "recover", recovered if fenced else opened(recovered, index)

    def _act(self, state: State, index: int, instance: Instance) -> Iterator[Step]:
        holds_ownership = instance.has_authority
        if holds_ownership and instance.record < MAX_RECORDS and len(state.journal) < MAX_ENTRIES:
            yield "append", append(state, index, instance.record + 1)
        if holds_ownership or self._fault is Fault.NO_CHECK_AFTER_PAUSE:
            late = state.sent_late or instance.epoch < state.opened
            yield "send upstream from", state._replace(sent_late=late)
        travels = any(checkpoint.instance == index for checkpoint in state.checkpoints)
        if holds_ownership and instance.checkpoint < instance.known and not travels:
            write = Checkpoint(index, instance.checkpoint, instance.known)
            yield "checkpoint", state._replace(checkpoints=state.checkpoints | {write})

    def _take_answer(self, state: State, index: int, instance: Instance) -> Iterator[Step]:
        yield "give up waiting", with_instance(state, index, mode=Mode.UNSURE, answer="")
        if instance.answer == "done":
            yield "take answer", self._done(state, index, instance)
        elif instance.answer == "conflict":
            yield "take conflict", self._conflict(state, index, instance)

    def _done(self, state: State, index: int, instance: Instance) -> State:
        """Count the entry as written; a fence is no promise to a caller."""
        entry = Entry(instance.epoch, instance.record)
        after = opened(with_instance(state, index, known=instance.known + 1), index)
        if instance.record == FENCE:
            return after
        return after._replace(acknowledged=state.acknowledged | {(instance.known, entry)})

    def _conflict(self, state: State, index: int, instance: Instance) -> State:
        if self._is_absent(state, instance.known):
            return with_instance(state, index, mode=Mode.IDLE, answer="", has_asked=False)
        present = state.journal[instance.known]
        if present == Entry(instance.epoch, instance.record):
            return self._done(state, index, instance)
        has_successor = present.epoch > instance.epoch
        if has_successor and self._fault is Fault.FENCE_PAST_SUCCESSOR:
            has_successor = False
        if instance.record == FENCE and not has_successor:
            known = instance.known + 1
            return with_instance(state, index, mode=Mode.OPENING, known=known, answer="")
        entry = Entry(instance.epoch, instance.record)
        stopped = with_instance(
            state, index, mode=Mode.IDLE, answer="", has_authority=False, has_asked=False
        )
        return stopped._replace(refused=state.refused | {entry})

    def _resolve(self, state: State, index: int, instance: Instance) -> Iterator[Step]:
        if self._fault is Fault.LOST_MEANS_WRITTEN:
            yield "assume written", self._done(state, index, instance)
        elif self._fault is Fault.LOST_MEANS_FAILED and instance.record != FENCE:
            entry = Entry(instance.epoch, instance.record)
            refused = state._replace(refused=state.refused | {entry})
            yield "assume failed", with_instance(refused, index, mode=Mode.OPEN)
        else:
            yield "write again", append(state, index, instance.record)


def _is_acknowledged_durable(state: State) -> bool:
    return all(
        sequence < len(state.journal) and state.journal[sequence] == entry
        for sequence, entry in state.acknowledged
    )


def _is_refused_absent(state: State) -> bool:
    return not any(entry in state.journal for entry in state.refused)


def _does_owner_know_acknowledged(state: State) -> bool:
    return all(
        sequence < instance.known
        for instance in state.instances
        if instance.mode is Mode.OPEN and instance.has_authority
        for sequence, _ in state.acknowledged
    )


def _are_predecessors_known(state: State) -> bool:
    return all(entry.epoch >= state.opened for entry in state.journal[state.opened_at :])


def _are_epochs_ordered(state: State) -> bool:
    epochs = [entry.epoch for entry in state.journal]
    return epochs == sorted(epochs)


INVARIANTS = {
    "acknowledged_is_durable": _is_acknowledged_durable,
    "refused_is_absent": _is_refused_absent,
    "owner_knows_acknowledged": _does_owner_know_acknowledged,
    "predecessors_are_known": _are_predecessors_known,
    "entries_are_final": lambda state: not state.overwritten,
    "deleted_is_in_checkpoint": lambda state: state.deleted <= state.checkpoint,
    "epochs_are_ordered": _are_epochs_ordered,
    "no_act_after_takeover": lambda state: not state.sent_late,
}


@specification(
    {
        Fault.NO_CHECK_AFTER_PAUSE: "no_act_after_takeover",
        Fault.NO_TAKEOVER_WAIT: "no_act_after_takeover",
        Fault.LEASE_NEVER_LAPSES: "owner_knows_acknowledged",
        Fault.LEASE_FROM_ANSWER: "no_act_after_takeover",
        Fault.NO_FENCE_ENTRY: "predecessors_are_known",
        Fault.OVERWRITE: "entries_are_final",
        Fault.LOST_MEANS_WRITTEN: "acknowledged_is_durable",
        Fault.LOST_MEANS_FAILED: "refused_is_absent",
        Fault.DELETE_FENCES: "acknowledged_is_durable",
        Fault.FENCE_PAST_SUCCESSOR: "epochs_are_ordered",
        Fault.BLIND_CHECKPOINT: "deleted_is_in_checkpoint",
        Fault.CARRIER_NUMBERS: "epochs_are_ordered",
    }
)
def ownership(fault: Fault | None) -> Protocol:
    """Return the protocol of shard ownership."""
    return protocol("ownership", State(), _Steps(fault), INVARIANTS)
