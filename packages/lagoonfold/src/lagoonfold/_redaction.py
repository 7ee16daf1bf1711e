"""Keys of callers are kept out of logs and error messages."""

import re

SECRET_PREFIX = "lfk_"
SECRET_PATTERN = re.compile(SECRET_PREFIX + r"[A-Za-z0-9_-]{43}")


def redact(text: str) -> str:
    """Return the text with every key replaced, for logs and error messages."""
    return SECRET_PATTERN.sub(SECRET_PREFIX + "[redacted]", text)
