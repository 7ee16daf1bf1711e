"""Tests of `platform/`, which translates between lagoonfold and the platform."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PLATFORM = ROOT / "platform"

if str(PLATFORM) not in sys.path:
    sys.path.append(str(PLATFORM))
