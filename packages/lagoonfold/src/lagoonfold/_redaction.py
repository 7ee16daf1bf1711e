"""Removal of callers' keys from logs and error messages."""

import re

SECRET_PREFIX = "lfk_"
SECRET_PATTERN = re.compile(SECRET_PREFIX + r"[A-Za-z0-9_-]{43}")


def redact(text: str) -> str:
    """Return the text with every caller's key replaced by a placeholder."""
    return SECRET_PATTERN.sub(SECRET_PREFIX + "[redacted]", text)
