"""The pool of line buffers: one size, used again, never more than a fixed number."""

from __future__ import annotations


class NoBufferError(Exception):
    """All buffers are lent out."""


class BufferPool:
    """Lends buffers of one size. A connection has one only while it waits for the rest of a line.

    Twisted reads into bytes objects of its own that live until the lines in them are passed on, so what is
    pooled is what lives longer: the line that has come in part.
    """

    def __init__(self, size: int, most: int) -> None:
        self.size = size
        self.left = most
        self._idle: list[bytearray] = []

    def acquire(self) -> bytearray:
        if self._idle:
            return self._idle.pop()
        if not self.left:
            raise NoBufferError("no buffer is left for the rest of a line")
        self.left -= 1
        return bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        self._idle.append(buffer)
