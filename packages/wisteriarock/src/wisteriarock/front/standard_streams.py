"""Standard streams of a process that was started without them."""

import os

_STANDARD_DESCRIPTORS = (0, 1, 2)


def open_missing_streams() -> None:
    """Open the null device in place of each closed standard stream.

    Otherwise the first socket would get the number of the stream, and the log lines with it.
    """
    for descriptor in _STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is that of the stream, as the lower ones are open.
            os.open(os.devnull, os.O_RDWR)
