"""Which records wait for a stalled journal, and which are refused.

Outcomes must not be lost. An idempotent call may begin in an outage, since it is harmless twice
and its end waits for the journal.
"""

from lagoonfold.records import CallBegun, CallSettled, Record


def only_settle_calls(records: tuple[Record, ...]) -> bool:
    """Tell whether records only settle calls."""
    return bool(records) and all(isinstance(record, CallSettled) for record in records)


def may_wait_out_stall(records: tuple[Record, ...]) -> bool:
    """Tell whether records may wait for as long as the journal is stalled."""
    return only_settle_calls(records) or _are_harmless_begins(records)


def _are_harmless_begins(records: tuple[Record, ...]) -> bool:
    return bool(records) and all(
        isinstance(record, CallBegun) and record.is_idempotent for record in records
    )
