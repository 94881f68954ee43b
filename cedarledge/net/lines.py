"""Splits the byte stream of a connection into the protocol's lines."""

from __future__ import annotations

import math

from cedarledge.net.buffers import BufferPool

END = b"\r\n"
MAX_LINE_BYTES = 4096
# An incomplete line may be a line of the maximum length that lacks only the last byte of its terminator.
BUFFER_SIZE = MAX_LINE_BYTES + 1


class LineTooLongError(Exception):
    """A line is longer than the protocol allows."""


def parse_finite(text: str) -> float:
    """Returns a number that was received in a line.

    Raises ValueError for anything else, and for infinities and NaN: a value that is not finite would stay in
    every running sum that it is added to.
    """
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"not finite: {text}")
    return value


class LineBuffer:
    """Line decoder of one connection.

    It holds at most one buffer of the pool, and only while the last line is incomplete.
    """

    __slots__ = ("_buffer", "_held", "_pool")

    def __init__(self, pool: BufferPool) -> None:
        """Takes buffers for incomplete lines from `pool`."""
        self._pool = pool
        self._buffer: bytearray | None = None
        self._held = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the lines that `data` completes, without their terminators.

        Raises LineTooLongError, or NoBufferError if an incomplete line needs a buffer and none is left.
        """
        if self._buffer is not None:
            data = bytes(memoryview(self._buffer)[: self._held]) + data
            self.close()
        lines = data.split(END)
        rest = lines.pop()
        if len(rest) > BUFFER_SIZE or (lines and max(map(len, lines)) > MAX_LINE_BYTES):
            raise LineTooLongError(f"a line of more than {MAX_LINE_BYTES} bytes")
        if rest:
            self._buffer = self._pool.acquire()
            self._buffer[: len(rest)] = rest
            self._held = len(rest)
        return lines

    @property
    def has_partial_line(self) -> bool:
        """Whether the last line is incomplete."""
        return self._buffer is not None

    def close(self) -> None:
        """Returns the buffer to the pool; nothing else does."""
        if self._buffer is not None:
            self._pool.release(self._buffer)
            self._buffer = None
