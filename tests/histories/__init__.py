"""Tests of kept turns: prompts, disks, searches, copies and the file."""
