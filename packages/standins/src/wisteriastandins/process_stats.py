"""Processor time and memory of processes, from /proc."""

import os
from pathlib import Path


def _read_proc_file(path: str) -> str:
    """Return the content of a file in /proc, empty if the process has exited."""
    try:
        return Path(path).read_text(encoding="ascii")
    except (FileNotFoundError, ProcessLookupError):
        return ""


def cpu_seconds(pid: int) -> float:
    """Return the user and system processor time of a process in seconds, 0 if it has exited."""
    # The command name is in parentheses and may contain spaces; fixed fields follow it.
    fields = _read_proc_file(f"/proc/{pid}/stat").rpartition(")")[2].split()
    if len(fields) < 13:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident set size of a process in bytes, 0 if it has exited."""
    for line in _read_proc_file(f"/proc/{pid}/status").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0
