"""The pool of line buffers: all of one size, reused, and limited in number."""

from __future__ import annotations


class NoBufferError(Exception):
    """All buffers of a pool are in use."""


class BufferPool:
    """Lends buffers of one size. A connection holds one only while it waits for the rest of a line.

    Twisted reads into bytes objects of its own, which live until the lines in them are forwarded. Only what
    lives longer is pooled: the beginning of a line that is still incomplete.
    """

    def __init__(self, size: int, limit: int) -> None:
        """`size` is in bytes; at most `limit` buffers are ever allocated."""
        self.size = size
        self.remaining = limit  # buffers that may still be allocated
        self._idle: list[bytearray] = []

    def acquire(self) -> bytearray:
        """Returns an idle buffer or a new one. Raises NoBufferError if all are in use."""
        if self._idle:
            return self._idle.pop()
        if not self.remaining:
            raise NoBufferError("no buffer is left for an incomplete line")
        self.remaining -= 1
        return bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        """Takes back a buffer for reuse; its content is not cleared."""
        self._idle.append(buffer)
