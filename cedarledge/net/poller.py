"""An epoll object that retries registrations for which the system lacks memory."""

from __future__ import annotations

import select

from loguru import logger

from cedarledge.net.transient_errors import RESOURCE_ERRORS

# A registration that failed is retried at the latest after this time, in seconds.
RETRY_WITHIN = 0.01


class RetryingPoller:
    """The part of `select.epoll` that Twisted's reactor uses.

    A registration that fails for lack of memory is retried before the next wait. Without it the connection
    would never be read again, or would be reported as writable for ever.
    """

    def __init__(self, poller: select.epoll) -> None:
        """Wraps an epoll object."""
        self._poller = poller
        self._registered: set[int] = set()
        self._pending: dict[int, int] = {}  # flags that could not be registered, by descriptor

    def register(self, descriptor: int, flags: int) -> None:
        """Watches a descriptor. Raises OSError unless the failure is a lack of memory, which is retried."""
        self._set(descriptor, flags)

    def modify(self, descriptor: int, flags: int) -> None:
        """Changes the events of a descriptor; raises as `register` does."""
        self._set(descriptor, flags)

    def unregister(self, descriptor: int) -> None:
        """Stops watching a descriptor, and drops a registration that has not succeeded yet."""
        self._pending.pop(descriptor, None)
        if descriptor in self._registered:
            self._registered.remove(descriptor)
            self._poller.unregister(descriptor)

    def poll(self, timeout: float, limit: int) -> list[tuple[int, int]]:
        """Waits for at most `limit` events; `timeout` is in seconds, and below 0 there is none."""
        if self._pending:
            for descriptor, flags in list(self._pending.items()):
                self._retry(descriptor, flags)
            if self._pending:
                timeout = RETRY_WITHIN if timeout < 0 else min(timeout, RETRY_WITHIN)
        return self._poller.poll(timeout, limit)

    def fileno(self) -> int:
        """Returns the descriptor of the epoll object itself."""
        return self._poller.fileno()

    def close(self) -> None:
        """Closes the epoll object."""
        self._poller.close()

    def _retry(self, descriptor: int, flags: int) -> None:
        try:
            self._set(descriptor, flags)
        except OSError as error:
            # The descriptor can't be watched at all; endless retries would keep the reactor from its work.
            del self._pending[descriptor]
            logger.error("descriptor {} can't be watched: {}", descriptor, error)

    def _set(self, descriptor: int, flags: int) -> None:
        try:
            if descriptor in self._registered:
                self._poller.modify(descriptor, flags)
            else:
                self._poller.register(descriptor, flags)
                self._registered.add(descriptor)
        except OSError as error:
            if error.errno not in RESOURCE_ERRORS:
                self._registered.discard(descriptor)
                raise
            self._pending[descriptor] = flags
        else:
            self._pending.pop(descriptor, None)
