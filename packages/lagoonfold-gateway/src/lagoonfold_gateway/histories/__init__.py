"""The gateway's side of kept turns: the list of disks, calls to them, reading and writing."""
