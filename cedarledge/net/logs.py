"""Where log lines go: standard error, as text or JSON, never waited for."""

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
# A pipe that can be written to takes this much without making the writer wait.
MAX_WRITE_BYTES = 4096
MAX_BUFFERED_BYTES = 256 << 10


class NonBlockingSink:
    """A log sink on a file descriptor. Lines that its reader is not ready for wait within a bound; past it
    they are dropped, and how many is said once there is room: a reader that stops must cost lines, never a
    placement."""

    def __init__(self, fd: int, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._fd = fd
        self.max_bytes = max_bytes
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0
        self._dropped_before = 0  # of them, those already told of
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def __call__(self, message: str) -> None:
        line = message.encode("utf-8", "replace")
        if self._size + len(line) > self.max_bytes:
            self.dropped += 1
        else:
            self._waiting.append(line)
            self._size += len(line)
        self.flush()

    def flush(self) -> None:
        while self._waiting and self._ready():
            line = self._waiting.popleft()
            self._size -= len(line)
            try:
                written = os.write(self._fd, line[:MAX_WRITE_BYTES])
            except OSError:
                # Its reader has gone for good; who stays is owed service, with or without a log.
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
    """A loguru format that gives one JSON object a line. The object is put into the record's own fields,
    since what a format function returns is formatted once more."""
    told = {"time": record["time"].isoformat(), "level": record["level"].name} | record["extra"]
    told.pop("as_json", None)
    told["message"] = record["message"]
    if record["exception"] is not None:
        told["exception"] = "".join(traceback.format_exception(*record["exception"]))
    record["extra"]["as_json"] = json.dumps(told, default=str)
    return "{extra[as_json]}\n"


def _from_twisted(event: dict[str, Any]) -> None:
    """Twisted's own warnings and faults go where all else is logged."""
    if event["log_level"] >= LogLevel.warn:
        failure = event.get("log_failure")
        logger.opt(exception=failure and failure.value).error("{}", formatEvent(event))


@cache
def _stderr() -> NonBlockingSink:
    """One for the process: what waits in it, and what it has dropped, outlive a change of how lines look."""
    return NonBlockingSink(sys.stderr.fileno())


def log_to_stderr(level: str, form: str = "text", waiting: int = MAX_BUFFERED_BYTES) -> None:
    """Sends all log lines there; called again it replaces how. LOGURU_LEVEL goes before the level given."""
    _stderr().max_bytes = waiting
    logger.remove()
    logger.add(
        _stderr(),
        format=as_json if form == "json" else TEXT,
        backtrace=False,
        level=os.environ.get("LOGURU_LEVEL") or level.upper(),
    )


def redirect_twisted_log() -> None:
    """Once a process: Twisted's log is taken over."""
    globalLogBeginner.beginLoggingTo([_from_twisted], redirectStandardIO=False, discardBuffer=True)
