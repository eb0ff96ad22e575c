"""Connection of a stand-in endpoint that spoils its replies."""

import asyncio
import random
from enum import StrEnum

from wisteriarock.http.front import Answer, CallerConnection, ListenerState, encode_answer

# Range of the delay of a second copy: the connection is idle or in use again by then.
COPY_DELAY_RANGE_S = (0.0, 0.05)
ENDLESS_BLOCK_BYTES = 16_384
ENDLESS_INTERVAL_S = 0.01


class ReplyFault(StrEnum):
    """What an endpoint does to its replies."""

    CUT_OFF = "cut_off"
    COPY = "copy"
    ENDLESS = "endless"
    UNFINISHED = "unfinished"


class ReplyFaults:
    """The current fault of an endpoint's replies, None if they are sound.

    Attributes
    ----------
    unfinished : bytes
        What an endpoint sends in place of each reply, with nothing after it.
    """

    def __init__(self, seed: str) -> None:
        self.current: ReplyFault | None = None
        self.unfinished = b""
        self.rng = random.Random(seed)


class FaultyConnection(CallerConnection):
    """Connection whose answers may be cut off, sent twice, or go on without end."""

    def __init__(self, listener: ListenerState, faults: ReplyFaults) -> None:
        super().__init__(listener)
        self._faults = faults

    def _answer(self, answer: Answer, is_keep_alive: bool, *, is_head: bool) -> None:
        fault, transport = self._faults.current, self.transport
        if fault is None or transport is None or transport.is_closing():
            super()._answer(answer, is_keep_alive, is_head=is_head)
            return
        encoded = encode_answer(answer, with_close=False, is_head=is_head)
        if fault is ReplyFault.COPY:
            super()._answer(answer, is_keep_alive, is_head=is_head)
            delay_s = self._faults.rng.uniform(*COPY_DELAY_RANGE_S)
            self.listener.loop.call_later(delay_s, _write_if_open, transport, encoded)
            return
        self.cancel_request = None
        self.must_close = True
        if fault is ReplyFault.UNFINISHED:
            transport.write(self._faults.unfinished)
        elif fault is ReplyFault.CUT_OFF:
            transport.write(encoded[: self._faults.rng.randrange(len(encoded))])
            transport.close()
        else:
            head_bytes = len(encoded) - len(answer.body)
            sent_bytes = self._faults.rng.randrange(head_bytes + 1)
            transport.write(encoded[:sent_bytes] if sent_bytes < head_bytes else encoded)
            self._write_endlessly(transport)

    def _write_endlessly(self, transport: asyncio.Transport) -> None:
        """Write until the peer closes the connection, as fast as it reads."""
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() < ENDLESS_BLOCK_BYTES:
            transport.write(b"x" * ENDLESS_BLOCK_BYTES)
        self.listener.loop.call_later(ENDLESS_INTERVAL_S, self._write_endlessly, transport)


def _write_if_open(transport: asyncio.Transport, data: bytes) -> None:
    if not transport.is_closing():
        transport.write(data)
