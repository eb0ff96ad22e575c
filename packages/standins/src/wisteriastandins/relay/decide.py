"""Release times and byte limits of a link. Performs no I/O."""

from .models import RETRANSMIT_DELAY_MS, Action, LinkControl, LinkState, Pipe

# The event loop rounds waits up to whole milliseconds, by 0.5 ms on average. Releasing chunks this
# much earlier makes the mean error zero.
RELEASE_SLACK_MS = 0.5


def enqueue(pipe: Pipe, link: LinkState, data: bytes, now_ms: float) -> None:
    """Queue a chunk for release after the chunks before it; b"" ends the stream."""
    delay_ms = link.delay_ms
    if link.jitter_ms > 0:
        delay_ms += link.rng.random() * link.jitter_ms
    if link.loss_share > 0 and data and link.rng.random() < link.loss_share:
        delay_ms += RETRANSMIT_DELAY_MS
    pipe.last_release_ms = max(pipe.last_release_ms, now_ms + delay_ms)
    pipe.queue.append((pipe.last_release_ms, data))
    pipe.queued_bytes += len(data)


def pop_due(pipe: Pipe, now_ms: float) -> tuple[bytes, bool]:
    """Remove and return the data that is due for release.

    Returns
    -------
    tuple
        The data, truncated at the byte limit, and whether the stream ends after it.
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
    """Discard the queued data."""
    pipe.queue.clear()
    pipe.queued_bytes = 0


def connect_delay_ms(link: LinkState) -> float:
    """Return the duration of a TCP handshake, until the arrival of its last packet."""
    return 3 * link.delay_ms


def control_error(body: LinkControl) -> str | None:
    """Return the first required field that is missing or negative, or None."""
    required_fields = {Action.DELAY: ("delay_ms", "jitter_ms"), Action.CUT_AFTER_BYTES: ("bytes",)}
    for name in required_fields.get(body["action"], ()):
        if body.get(name, -1) < 0:  # type: ignore[operator]
            return name
    return None
