"""Buffer that all connections of the process read into.

Its bytes are taken before another connection reads, so that a read allocates no more than it got.
"""

import asyncio

from .const import READ_MAX_BYTES

_BUFFER = memoryview(bytearray(READ_MAX_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Protocol that reads through the shared buffer."""

    __slots__ = ()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that were read."""
        self.data_received(_BUFFER[:nbytes].tobytes())

    def data_received(self, data: bytes) -> None:
        """Take received bytes."""
        raise NotImplementedError
