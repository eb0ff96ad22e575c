"""Release times and byte limits of a link, without input or output."""

from .models import RETRANSMIT_DELAY_MS, Action, LinkControl, LinkState, Pipe

# The loop rounds its waits up to whole milliseconds, 0.5 ms on average. Releasing this much early
# centres the error.
RELEASE_SLACK_MS = 0.5


def enqueue(pipe: Pipe, link: LinkState, data: bytes, now_ms: float) -> None:
    """Queue a chunk with a time of release not before an earlier one; b"" ends the stream."""
    delay_ms = link.delay_ms
    if link.jitter_ms > 0:
        delay_ms += link.rng.random() * link.jitter_ms
    if link.loss_share > 0 and data and link.rng.random() < link.loss_share:
        delay_ms += RETRANSMIT_DELAY_MS
    pipe.last_release_ms = max(pipe.last_release_ms, now_ms + delay_ms)
    pipe.queue.append((pipe.last_release_ms, data))
    pipe.queued_bytes += len(data)


def pop_due(pipe: Pipe, now_ms: float) -> tuple[bytes, bool]:
    """Take the data whose time has come.

    Returns
    -------
    tuple
        The data, cut at the byte limit, and whether the stream ends after it.
    """
    chunks: list[bytes] = []
    ended = False
    while pipe.queue and pipe.queue[0][0] <= now_ms + RELEASE_SLACK_MS and not ended:
        _, data = pipe.queue.popleft()
        chunks.append(data)
        ended = not data
    data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
    pipe.queued_bytes -= len(data)
    if pipe.bytes_left is not None:
        data = data[: pipe.bytes_left]
        pipe.bytes_left -= len(data)
    return data, ended


def clear_pipe(pipe: Pipe) -> None:
    """Drop what is in flight."""
    pipe.queue.clear()
    pipe.queued_bytes = 0


def connect_delay_ms(link: LinkState) -> float:
    """Return the time from a connect to the moment when its last handshake packet has arrived."""
    return 3 * link.delay_ms


def control_error(body: LinkControl) -> str | None:
    """Return the field that an action lacks or that is negative, or None."""
    required_fields = {Action.DELAY: ("delay_ms", "jitter_ms"), Action.CUT_AFTER_BYTES: ("bytes",)}
    for name in required_fields.get(body["action"], ()):
        if body.get(name, -1) < 0:  # type: ignore[operator]
            return name
    return None
