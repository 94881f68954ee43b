"""Errors of system calls that say something of this machine for a moment, and nothing of the peer.

Linux documents them for calls on sockets. The same call may work when it is made again; the connection that
it was made on stands as before.
"""

from __future__ import annotations

import errno

# The machine or this process has too little of something.
RESOURCE_ERRORS = frozenset((errno.ENOMEM, errno.ENOBUFS, errno.ENOSPC, errno.EMFILE, errno.ENFILE))
# Of recv and send: nothing was taken or given.
TRANSIENT_IO_ERRORS = RESOURCE_ERRORS | {errno.EAGAIN, errno.EINTR}
# Of connect: no local port or route was to be had, or a signal came first; the address was not tried.
NOT_ATTEMPTED_ERRORS = TRANSIENT_IO_ERRORS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH}
# Of accept: also errors that wait on the connection that would have been accepted (accept(2)).
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
    """Whether a connect failed before its address was tried. `error` is Twisted's, with the system's."""
    return getattr(error, "osError", None) in NOT_ATTEMPTED_ERRORS
