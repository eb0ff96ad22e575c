"""Processor time and memory of processes, from /proc."""

import os
from pathlib import Path


def cpu_seconds(pid: int) -> float:
    """Return the user and system processor time of a process, from /proc, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The command name is in brackets and may hold spaces; the fields after it are fixed.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident set of a process, from /proc, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0
