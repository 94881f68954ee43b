"""Cuts a byte stream into the protocol's lines."""

from __future__ import annotations

import math

from cedarledge.net.buffers import Pool

END = b"\r\n"
MAX_LINE_BYTES = 4096
# A line that waits for its rest may have come whole but for the last byte of its end.
BUFFER_SIZE = MAX_LINE_BYTES + 1


class LineTooLongError(Exception):
    """A line past the protocol's limit."""


def parse_finite(text: str) -> float:
    """A number out of a line. What is not finite would stay in every sum that it enters."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"not finite: {text}")
    return value


class LineBuffer:
    """The lines of one connection. It owns at most one buffer, and only while a line has come in part."""

    __slots__ = ("_buffer", "_held", "_pool")

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._buffer: bytearray | None = None
        self._held = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that the data completes, without their ends."""
        if self._buffer is not None:
            data = bytes(memoryview(self._buffer)[: self._held]) + data
            self.close()
        lines = data.split(END)
        rest = lines.pop()
        if len(rest) > BUFFER_SIZE or (lines and max(map(len, lines)) > MAX_LINE_BYTES):
            raise LineTooLongError(f"a line of more than {MAX_LINE_BYTES} bytes")
        if rest:
            self._buffer = self._pool.take()
            self._buffer[: len(rest)] = rest
            self._held = len(rest)
        return lines

    @property
    def waiting(self) -> bool:
        """Whether a part of a line is here whose rest is not."""
        return self._buffer is not None

    def close(self) -> None:
        """The one place where the buffer is given back."""
        if self._buffer is not None:
            self._pool.give_back(self._buffer)
            self._buffer = None
