"""An epoll object that makes each registration in the end, where the system lacks memory for it at first."""

from __future__ import annotations

import select

from loguru import logger

from cedarledge.net.transient_errors import RESOURCE_ERRORS

# How long what could not be registered waits at most, in seconds.
RETRY_WITHIN = 0.01


class RetryingPoller:
    """What Twisted's reactor uses of `select.epoll`. A registration that fails for want of memory is made
    before the next wait; given up, its connection would never be read again, or be written for ever."""

    def __init__(self, poller: select.epoll) -> None:
        self._poller = poller
        self._registered: set[int] = set()
        self._waiting: dict[int, int] = {}  # flags that could not be registered, by descriptor

    def register(self, descriptor: int, flags: int) -> None:
        self._set(descriptor, flags)

    def modify(self, descriptor: int, flags: int) -> None:
        self._set(descriptor, flags)

    def unregister(self, descriptor: int) -> None:
        self._waiting.pop(descriptor, None)
        if descriptor in self._registered:
            self._registered.remove(descriptor)
            self._poller.unregister(descriptor)

    def poll(self, timeout: float, most: int) -> list[tuple[int, int]]:
        """Waits for events; `timeout` is in seconds, below 0: for as long as it takes."""
        if self._waiting:
            for descriptor, flags in list(self._waiting.items()):
                self._set_again(descriptor, flags)
            if self._waiting:
                timeout = RETRY_WITHIN if timeout < 0 else min(timeout, RETRY_WITHIN)
        return self._poller.poll(timeout, most)

    def fileno(self) -> int:
        return self._poller.fileno()

    def close(self) -> None:
        self._poller.close()

    def _set_again(self, descriptor: int, flags: int) -> None:
        try:
            self._set(descriptor, flags)
        except OSError as why:
            # It can't be watched at all, and trying it for ever would keep the reactor from its work.
            del self._waiting[descriptor]
            logger.error("descriptor {} can't be watched: {}", descriptor, why)

    def _set(self, descriptor: int, flags: int) -> None:
        try:
            if descriptor in self._registered:
                self._poller.modify(descriptor, flags)
            else:
                self._poller.register(descriptor, flags)
                self._registered.add(descriptor)
        except OSError as why:
            if why.errno not in RESOURCE_ERRORS:
                self._registered.discard(descriptor)
                raise
            self._waiting[descriptor] = flags
        else:
            self._waiting.pop(descriptor, None)
