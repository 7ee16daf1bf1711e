"""Decides which records wait for a stalled journal; all others are refused.

Outcomes wait, since they must not be lost. An idempotent call may begin in an outage, since
executing it twice is harmless and its outcome waits for the journal.
"""

from lagoonfold.records import CallBegun, CallSettled, Record


def only_settle_calls(records: tuple[Record, ...]) -> bool:
    """Return whether records only settle calls."""
    return bool(records) and all(isinstance(record, CallSettled) for record in records)


def may_wait_out_stall(records: tuple[Record, ...]) -> bool:
    """Return whether records may wait for as long as the journal is stalled."""
    return only_settle_calls(records) or _only_begin_idempotent_calls(records)


def _only_begin_idempotent_calls(records: tuple[Record, ...]) -> bool:
    return bool(records) and all(
        isinstance(record, CallBegun) and record.is_idempotent for record in records
    )
