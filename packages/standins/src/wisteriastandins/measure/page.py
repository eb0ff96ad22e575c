"""Write a page of docs/measurements."""

import os
import platform
import shlex
import sys
from pathlib import Path


def describe_machine() -> str:
    """Return the machine properties that affect the figures: processors and Python version."""
    return (
        f"{os.cpu_count()} processors, CPython {platform.python_version()}; entry instances, "
        "stand-ins and load tool share the machine"
    )


def format_command() -> str:
    """Return the command that repeats this run from the root of the repository."""
    return shlex.join(["python", "-m", "wisteriastandins", *sys.argv[1:]])


def format_table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return a Markdown table."""
    lines = [f"| {' | '.join(cells)} |" for cells in (head, *rows)]
    lines.insert(1, "|" + "---|" * len(head))
    return "\n".join(lines)


def write_page(path: Path, title: str, paragraphs: list[str]) -> None:
    """Write a page that starts with the command and the machine."""
    parts = [f"# {title}", f"Command: `{format_command()}`", f"Machine: {describe_machine()}."]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n\n".join([*parts, *paragraphs]) + "\n", encoding="utf-8")
