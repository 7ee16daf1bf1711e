"""Reads numbers that other programs have written as text."""

MAX_DIGITS = 18  # of a count that fits in 64 bits


def parse_count(text: str) -> int | None:
    """Return the number of a text of decimal digits, None for any other text and too long ones.

    parse_count("12")    # 12
    """
    is_count = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_count else None
