"""Errors of socket system calls that this machine causes for a moment, and that say nothing about the peer.

Linux documents them for calls on sockets. The same call may succeed when it is repeated, and the connection
on which it failed stays usable.
"""

from __future__ import annotations

import errno

# The machine or this process is short of memory, buffers or descriptors.
RESOURCE_ERRORS = frozenset((errno.ENOMEM, errno.ENOBUFS, errno.ENOSPC, errno.EMFILE, errno.ENFILE))
# Of recv and send: no data was transferred.
TRANSIENT_IO_ERRORS = RESOURCE_ERRORS | {errno.EAGAIN, errno.EINTR}
# Of connect: no local port or route was available, or a signal came first; the address was not contacted.
NOT_ATTEMPTED_ERRORS = TRANSIENT_IO_ERRORS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH}
# Of accept: also the pending network errors of the connection that would have been accepted (accept(2)).
TRANSIENT_ACCEPT_ERRORS = TRANSIENT_IO_ERRORS | {
    errno.ECONNABORTED,
    errno.EPERM,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
}


def connect_not_attempted(error: BaseException) -> bool:
    """Tells whether a connect failed before its address was contacted.

    `error` is Twisted's exception, which carries the system's error number as `osError`.
    """
    return getattr(error, "osError", None) in NOT_ATTEMPTED_ERRORS
