"""Argument parsing and output of `wisteriactl`."""

import asyncio
import os
import random
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cyclopts import App, CycloptsError, Parameter
from returns.result import Success
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.platform.client import create_platform_client

from . import commands
from .const import (
    DEFAULT_SETTINGS_FILE,
    DEFAULT_TIMEOUT_S,
    MAX_PLATFORM_CALLS_PER_S,
    REQUEST_TIMEOUT_MS,
    SETTINGS_ENV_VAR,
    ExitCode,
)
from .engine import PlatformContext
from .explain import explain as explain_request
from .models import Outcome
from .settings import load_content, load_ctl_settings, load_key
from .status import create_ops_fetch

HELP = """Change and inspect the signed bundle of wisteriarock; explain where requests go.

Exit codes: 0 success, also if an earlier run already did it; 1 internal error; 2 invalid arguments,
settings, key or content; 3 conflict with another operator's bundle; 4 not yet known, or not yet in
force; 5 platform or instances unreachable; 6 refused: invalid signature, missing approval or
damaged data. Progress goes to standard error, the result to standard output.
"""

app = App(name="wisteriactl", help=HELP)


@Parameter(name="*")
@dataclass
class CommonOptions:
    """Options of every command.

    Attributes
    ----------
    settings : Path
        Settings file, JSON with comments; the default comes from WISTERIACTL_SETTINGS.
    json : bool
        Print the result as JSON.
    timeout_s : float
        Time for retries while the platform does not answer, and limit of `wait` and `explain`, in
        seconds.
    """

    settings: Path | None = None
    json: Annotated[bool, Parameter(negative="")] = False
    timeout_s: float = DEFAULT_TIMEOUT_S


_DEFAULT_OPTIONS = CommonOptions()


def _now_ms() -> float:
    return time.monotonic() * 1000


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _print_outcome(command: str, outcome: Outcome, as_json: bool) -> int:
    if as_json:
        result = {
            "command": command,
            "exit_code": int(outcome.code),
            "outcome": outcome.code.name.lower(),
            "message": outcome.message,
            **outcome.data,
        }
        print(msgspec.json.encode(result).decode())
        return int(outcome.code)
    for line in outcome.data.get("diff", []):
        print(line)
    for warning in outcome.data.get("warnings", []):
        print(f"warning: {warning}")
    print(outcome.message, file=sys.stdout if outcome.code is ExitCode.OK else sys.stderr)
    for error in outcome.data.get("errors", []):
        text = f"{error['path']}: found {error['found']}, allowed: {error['allowed']}"
        print(text, file=sys.stderr)
    return int(outcome.code)


def _settings_path(common: CommonOptions) -> Path:
    return common.settings or Path(os.environ.get(SETTINGS_ENV_VAR, DEFAULT_SETTINGS_FILE))


def _run_command(
    command: str, common: CommonOptions, work: Callable[[commands.Session], Awaitable[Outcome]]
) -> int:
    """Run a command that needs the settings and the platform."""
    loaded = load_ctl_settings(_settings_path(common))
    if not isinstance(loaded, Success):
        return _print_outcome(command, loaded.failure(), common.json)
    settings = loaded.unwrap()

    async def run() -> Outcome:
        platform = create_platform_client(
            settings["platform_url"],
            REQUEST_TIMEOUT_MS,
            MAX_PLATFORM_CALLS_PER_S,
            create_metrics(),
            _now_ms,
            random.Random(),
        )
        context = PlatformContext(
            platform, _now_ms, _now_ms() + common.timeout_s * 1000, _print_progress
        )
        fetch_ops = create_ops_fetch(settings["operator_token"])
        try:
            return await work(commands.Session(settings, context, fetch_ops))
        finally:
            await platform.close()

    return _print_outcome(command, asyncio.run(run()), common.json)


def _run_with_key(
    command: str,
    common: CommonOptions,
    work: Callable[[commands.Session, Ed25519PrivateKey], Awaitable[Outcome]],
) -> int:
    """Run a command that also needs the operator's private key."""

    async def with_key(session: commands.Session) -> Outcome:
        key = load_key(session.settings, _settings_path(common).parent)
        return await work(session, key.unwrap()) if isinstance(key, Success) else key.failure()

    return _run_command(command, common, with_key)


@app.command
def keygen(path: Path, *, common: CommonOptions = _DEFAULT_OPTIONS) -> int:
    """Create a private key file and print the public key for `operator_keys`.

    Parameters
    ----------
    path : Path
        New file; an existing one is never replaced.
    """
    return _print_outcome("keygen", commands.keygen(path), common.json)


@app.command
def check(file: Path, *, common: CommonOptions = _DEFAULT_OPTIONS) -> int:
    """Check a content file and print every error.

    Parameters
    ----------
    file : Path
        Content, JSON with comments.
    """
    return _print_outcome("check", commands.check(file), common.json)


@app.command
def diff(file: Path, other: Path | None = None, *, common: CommonOptions = _DEFAULT_OPTIONS) -> int:
    """Compare two content files, or the content in force with one file.

    Parameters
    ----------
    file : Path
        The older content; if it is the only file, the newer one.
    other : Path
        The newer content.
    """
    if other is not None:
        return _print_outcome("diff", commands.diff_files(file, other), common.json)
    return _run_command("diff", common, lambda session: commands.diff_with_head(session, file))


@app.command
def propose(
    file: Path,
    *,
    approver: str | None = None,
    base: int | None = None,
    replace: Annotated[bool, Parameter(negative="")] = False,
    common: CommonOptions = _DEFAULT_OPTIONS,
) -> int:
    """Propose a content as the revision after the head.

    Parameters
    ----------
    file : Path
        Content, JSON with comments.
    approver : str
        Operator who must approve; default: `approver` of the settings, or the only other operator.
    base : int
        Head revision that the content was written against; any other head is a conflict.
    replace : bool
        Replace your own earlier proposal.
    """

    async def work(session: commands.Session, key: Ed25519PrivateKey) -> Outcome:
        content = load_content(file)
        if not isinstance(content, Success):
            return content.failure()
        return await commands.propose(session, key, content.unwrap(), approver, replace, base)

    return _run_with_key("propose", common, work)


@app.command
def approve(
    *,
    proposer: str | None = None,
    digest: str = "",
    dry_run: Annotated[bool, Parameter(negative="")] = False,
    common: CommonOptions = _DEFAULT_OPTIONS,
) -> int:
    """Sign another operator's proposal for the revision after the head.

    Parameters
    ----------
    proposer : str
        Proposer; required if several proposals are waiting.
    digest : str
        Prefix of the content digest; no other content is approved.
    dry_run : bool
        Show differences and warnings without signing.
    """
    return _run_with_key(
        "approve",
        common,
        lambda session, key: commands.approve(session, key, proposer, digest, dry_run),
    )


@app.command
def roll_forward(
    *, proposer: str | None = None, digest: str = "", common: CommonOptions = _DEFAULT_OPTIONS
) -> int:
    """Move the head to the approved proposal.

    Parameters
    ----------
    proposer : str
        Proposer; required if several proposals are approved.
    digest : str
        Prefix of the content digest.
    """
    return _run_command(
        "roll-forward",
        common,
        lambda session: commands.roll_forward(session, proposer, digest),
    )


@app.command
def roll_back(
    *,
    to: int,
    approver: str | None = None,
    replace: Annotated[bool, Parameter(negative="")] = False,
    common: CommonOptions = _DEFAULT_OPTIONS,
) -> int:
    """Propose the content of an older revision; approve and roll it forward like any other.

    Parameters
    ----------
    to : int
        Older revision whose content is proposed.
    approver : str
        Operator who must approve.
    replace : bool
        Replace your own earlier proposal.
    """
    return _run_with_key(
        "roll-back",
        common,
        lambda session, key: commands.roll_back(session, key, to, approver, replace),
    )


@app.command
def status(*, common: CommonOptions = _DEFAULT_OPTIONS) -> int:
    """Show the revision of each zone and instance, and which instances lag and why."""
    return _run_command("status", common, commands.status)


@app.command
def wait(*, revision: int, common: CommonOptions = _DEFAULT_OPTIONS) -> int:
    """Wait until every zone and every live instance has a revision.

    Parameters
    ----------
    revision : int
        Minimum revision.
    """
    return _run_command(
        "wait",
        common,
        lambda session: commands.wait(session, revision, common.timeout_s, _now_ms, asyncio.sleep),
    )


@app.command
def export(file: Path, *, common: CommonOptions = _DEFAULT_OPTIONS) -> int:
    """Write the bundle in force to a signed file for `bundle_path` of entry instances.

    Parameters
    ----------
    file : Path
        File to write; an existing one is replaced.
    """
    return _run_command("export", common, lambda session: commands.export(session, file))


@app.command
def dump(*, instance: str | None = None, common: CommonOptions = _DEFAULT_OPTIONS) -> int:
    """Print the state dump of an instance; it contains no secrets.

    Parameters
    ----------
    instance : str
        Name of the instance; default: the first one that answers.
    """
    return _run_command("dump", common, lambda session: commands.dump(session, instance))


@app.command
def explain(
    host: str,
    path: str,
    *,
    at: str,
    customer: str | None = None,
    shard: str | None = None,
    common: CommonOptions = _DEFAULT_OPTIONS,
) -> int:
    """Explain where a request would go now, and why, without sending it.

    Asks one process of the users' platform; needs no settings file.

    Parameters
    ----------
    host : str
        Host of the request.
    path : str
        Path of the request, with a slash at the start.
    at : str
        Metrics address of the instance, HOST:PORT.
    customer : str
        Name of the customer that would send the request; never its key.
    shard : str
        Shard, or service, whose endpoints are shown; without it, a long list has a line for each.
    """
    outcome = asyncio.run(explain_request(at, host, path, customer, shard, common.timeout_s))
    return _print_outcome("explain", outcome, common.json)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code.

    Parameters
    ----------
    arguments : sequence of str or None
        Arguments without the program name; None for those of the process.
    """
    tokens = list(sys.argv[1:] if arguments is None else arguments)
    try:
        code = app(tokens, exit_on_error=False, result_action="return_value")
    except CycloptsError:
        # cyclopts has already printed the error.
        return int(ExitCode.INPUT)
    return code if isinstance(code, int) else int(ExitCode.OK)


if __name__ == "__main__":
    sys.exit(main())
