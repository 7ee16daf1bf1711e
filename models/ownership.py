"""Ownership of one shard by two instances: takeover, fencing by the journal, and lost answers.

The ownership table assigns the shard to an instance and increments the epoch with every change; it
may change at any moment, since a lease may expire at any moment. An instance has authority for one
lease, counted from before its last read of the table; a paused instance takes no steps. A new owner
waits until every authority from before the change has expired, recovers the shard from the journal,
and appends a fence entry.

An append creates the key of its sequence number if that key is absent. The store may apply it long
after its writer has given up waiting or crashed. A writer that gave up repeats the identical write,
so a copy of it may arrive after the writer has gone on. A committer that sends an append, alone or
together with those of other shards, changes neither its sequence number nor its entry and holds no
state of its own; a paused committer is modelled as an append in flight.

Entries covered by a checkpoint are deleted, except fences: a former owner's next append goes to the
sequence number of its successor's fence and would succeed if that key were gone. A checkpoint
replaces only the one that its writer read or wrote, and entries are deleted only after it is
stored.

A step is an action of one instance, a crash, the expiry of an authority, a change of the table, or
the effect of a write on the store, with or without an answer. The invariants:

- acknowledged_is_durable: an entry reported as written stays in the journal;
- refused_is_absent: an entry reported as not written is not in the journal;
- owner_knows_acknowledged: an owner with authority knows every entry reported as written;
- predecessors_are_known: no entry of an earlier epoch follows those that an owner knew when it
  opened the shard;
- entries_are_final: an entry never changes;
- deleted_is_in_checkpoint: only entries covered by the stored checkpoint are deleted;
- epochs_are_ordered: the epochs of the entries never decrease along the journal;
- no_act_after_takeover: an instance sends nothing to upstreams once a later owner has opened.
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
    mark_opened,
    with_instance,
)
from models._specification import Step, protocol, specification


class Fault(Enum):
    """A rule of the protocol that is switched off."""

    # An instance sends to upstreams without checking that it still has authority.
    NO_CHECK_AFTER_PAUSE = "no-check-after-pause"
    # A new owner opens the shard before its predecessor's authority has expired.
    NO_TAKEOVER_WAIT = "no-takeover-wait"
    # The former owner keeps its authority when the lease time has passed.
    LEASE_NEVER_LAPSES = "lease-never-lapses"
    # The lease counts from the table's answer: a late answer gives authority that should be over.
    LEASE_FROM_ANSWER = "lease-counted-from-the-answer"
    # A new owner opens the shard without appending a fence entry.
    NO_FENCE_ENTRY = "no-fence-entry"
    # An append replaces an entry that exists.
    OVERWRITE = "append-without-compare"
    # An append without an answer is counted as written, or reported as not written.
    LOST_MEANS_WRITTEN = "lost-answer-taken-for-success"
    LOST_MEANS_FAILED = "lost-answer-taken-for-failure"
    # Fences covered by a checkpoint are deleted like other entries.
    DELETE_FENCES = "fences-deleted-after-a-checkpoint"
    # An owner whose fence conflicts with an entry of a later epoch tries the next number.
    FENCE_PAST_SUCCESSOR = "fence-past-a-later-owner"
    # A checkpoint replaces any other.
    BLIND_CHECKPOINT = "checkpoint-without-compare"
    # The committer appends an entry at the end of the journal, whatever its sequence number.
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
        is_reading_table = (
            self._fault is Fault.LEASE_FROM_ANSWER and state.instances[former].is_reading_table
        )
        keeps = self._fault is Fault.LEASE_NEVER_LAPSES and state.instances[former].has_authority
        lapsed = with_instance(
            state, former, has_authority=keeps, is_reading_table=is_reading_table
        )
        return lapsed._replace(has_waited=True)

    def _apply(self, state: State, write: Write, rest: State) -> Iterator[Step]:
        """Apply a write; `rest` is the state without it, or with a copy of it still in flight."""
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
        """Return whether the key of an entry was deleted; fences are kept."""
        if sequence >= state.deleted:
            return False
        is_fence = state.journal[sequence].record == FENCE
        return not is_fence or self._fault is Fault.DELETE_FENCES

    def _store(self, state: State, checkpoint: Checkpoint) -> State:
        """Store a checkpoint if the stored one is the one it replaces.

        If its writer still has authority, it then deletes the entries covered.
        """
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
            yield from self._receive_answer(state, index, instance)
        elif instance.mode is Mode.UNSURE:
            yield from self._resolve(state, index, instance)

    def _authority(self, state: State, index: int, instance: Instance) -> Iterator[Step]:
        if instance.epoch == state.epoch and state.owner == index and not instance.is_reading_table:
            yield "read table", with_instance(state, index, is_reading_table=True)
        if instance.is_reading_table and instance.mode is not Mode.IDLE:
            yield "receive table", with_instance(
                state, index, has_authority=True, is_reading_table=False
            )
        if instance.has_authority:
            yield "lose authority", with_instance(
                state, index, has_authority=False, is_reading_table=False
            )

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
        yield "recover", recovered if fenced else mark_opened(recovered, index)

    def _act(self, state: State, index: int, instance: Instance) -> Iterator[Step]:
        holds_ownership = instance.has_authority
        if holds_ownership and instance.record < MAX_RECORDS and len(state.journal) < MAX_ENTRIES:
            yield "append", append(state, index, instance.record + 1)
        if holds_ownership or self._fault is Fault.NO_CHECK_AFTER_PAUSE:
            sent_late = state.sent_late or instance.epoch < state.opened_epoch
            yield "send upstream from", state._replace(sent_late=sent_late)
        is_in_flight = any(checkpoint.instance == index for checkpoint in state.checkpoints)
        if holds_ownership and instance.checkpoint < instance.known and not is_in_flight:
            write = Checkpoint(index, instance.checkpoint, instance.known)
            yield "checkpoint", state._replace(checkpoints=state.checkpoints | {write})

    def _receive_answer(self, state: State, index: int, instance: Instance) -> Iterator[Step]:
        yield "give up waiting", with_instance(state, index, mode=Mode.UNSURE, answer="")
        if instance.answer == "done":
            yield "receive answer", self._done(state, index, instance)
        elif instance.answer == "conflict":
            yield "receive conflict", self._conflict(state, index, instance)

    def _done(self, state: State, index: int, instance: Instance) -> State:
        """Count the entry as written, and as acknowledged to a caller unless it is a fence."""
        entry = Entry(instance.epoch, instance.record)
        after = mark_opened(with_instance(state, index, known=instance.known + 1), index)
        if instance.record == FENCE:
            return after
        return after._replace(acknowledged=state.acknowledged | {(instance.known, entry)})

    def _conflict(self, state: State, index: int, instance: Instance) -> State:
        if self._is_absent(state, instance.known):
            return with_instance(state, index, mode=Mode.IDLE, answer="", is_reading_table=False)
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
            state, index, mode=Mode.IDLE, answer="", has_authority=False, is_reading_table=False
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
    return all(
        entry.epoch >= state.opened_epoch for entry in state.journal[state.known_at_opening :]
    )


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
    """Return the protocol of shard ownership, without the rule that a fault names."""
    return protocol("ownership", State(), _Steps(fault), INVARIANTS)
