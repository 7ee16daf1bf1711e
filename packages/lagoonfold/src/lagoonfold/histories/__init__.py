"""Histories that the system keeps: turns, the disks that hold them, and their copies."""

from lagoonfold.histories._chain_search import ChainSearch
from lagoonfold.histories._copy_tracker import MAX_COPY_LAG_S, CopyTracker, lacks_copy
from lagoonfold.histories._disks import CopyRule, Disk, rank_disks
from lagoonfold.histories._turns import (
    KeptTurn,
    decode_kept_turn,
    encode_kept_turn,
    make_prompt,
    prompt_parts,
    text_of_event,
    turn_key,
)

__all__ = [
    "MAX_COPY_LAG_S",
    "ChainSearch",
    "CopyRule",
    "CopyTracker",
    "Disk",
    "KeptTurn",
    "decode_kept_turn",
    "encode_kept_turn",
    "lacks_copy",
    "make_prompt",
    "prompt_parts",
    "rank_disks",
    "text_of_event",
    "turn_key",
]
