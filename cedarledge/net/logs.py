"""Log output to standard error, as text or JSON, that never blocks the process."""

from __future__ import annotations

import json
import os
import select
import sys
import traceback
from collections import deque
from functools import cache
from typing import Any

from loguru import logger
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

TEXT = "{time:HH:mm:ss.SSS} {level} {message}"
# A pipe that polls as writable takes this many bytes without blocking the writer.
MAX_WRITE_BYTES = 4096
MAX_BUFFERED_BYTES = 256 << 10


class NonBlockingSink:
    """A loguru sink that writes to a file descriptor without blocking.

    Lines that the reader is not ready for are buffered up to a limit. Beyond it lines are dropped, and their
    number is logged once there is room. A reader that stops costs log lines, but never delays a connection.
    """

    def __init__(self, fd: int, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Writes to `fd`, a pipe, terminal or file; buffers up to `max_bytes`."""
        self._fd = fd
        self.max_bytes = max_bytes
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0
        self._dropped_before = 0  # the part of them that the log already mentions
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def __call__(self, message: str) -> None:
        """Buffers one log line, or drops it if the buffer is full, and writes what can be written."""
        line = message.encode("utf-8", "replace")
        if self._size + len(line) > self.max_bytes:
            self.dropped += 1
        else:
            self._waiting.append(line)
            self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines for as long as the reader takes them."""
        while self._waiting and self._ready():
            line = self._waiting.popleft()
            self._size -= len(line)
            try:
                written = os.write(self._fd, line[:MAX_WRITE_BYTES])
            except OSError:
                # The reader is gone for good. The relay goes on serving without a log.
                self.dropped += 1
                continue
            if written < len(line):
                self._waiting.appendleft(line[written:])
                self._size += len(line) - written
                continue
            if self.dropped > self._dropped_before and not self._waiting:
                lost, self._dropped_before = self.dropped - self._dropped_before, self.dropped
                self._waiting.append(b"%d log lines were dropped: their reader had stopped\n" % lost)
                self._size += len(self._waiting[-1])

    def _ready(self) -> bool:
        return any(event & (select.POLLOUT | select.POLLERR) for _, event in self._poll.poll(0))


def as_json(record: dict[str, Any]) -> str:
    """Loguru format function for one JSON object a line.

    The object is stored in the record's own fields, since loguru formats the returned string once more.
    """
    entry = {"time": record["time"].isoformat(), "level": record["level"].name} | record["extra"]
    entry.pop("as_json", None)
    entry["message"] = record["message"]
    if record["exception"] is not None:
        entry["exception"] = "".join(traceback.format_exception(*record["exception"]))
    record["extra"]["as_json"] = json.dumps(entry, default=str)
    return "{extra[as_json]}\n"


def _from_twisted(event: dict[str, Any]) -> None:
    """Passes Twisted's own warnings and errors on to the log."""
    if event["log_level"] >= LogLevel.warn:
        failure = event.get("log_failure")
        logger.opt(exception=failure and failure.value).error("{}", formatEvent(event))


@cache
def _stderr() -> NonBlockingSink:
    """Returns the one sink of the process: its buffer and drop count survive a change of the log format."""
    return NonBlockingSink(sys.stderr.fileno())


def log_to_stderr(level: str, form: str = "text", max_bytes: int = MAX_BUFFERED_BYTES) -> None:
    """Logs to standard error at `level` or, if set, LOGURU_LEVEL. A later call replaces the settings."""
    _stderr().max_bytes = max_bytes
    logger.remove()
    logger.add(
        _stderr(),
        format=as_json if form == "json" else TEXT,
        backtrace=False,
        level=os.environ.get("LOGURU_LEVEL") or level.upper(),
    )


def redirect_twisted_log() -> None:
    """Sends Twisted's log events to the log. To be called once a process."""
    globalLogBeginner.beginLoggingTo([_from_twisted], redirectStandardIO=False, discardBuffer=True)
