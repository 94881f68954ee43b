"""A relay that stops itself, as by SIGSTOP, right before or after the first call of a method, or the one with
that number: python stopping_relay.py MODULE CLASS METHOD before|after [NUMBER]."""

from __future__ import annotations

import os
import signal
import sys
from functools import wraps
from importlib import import_module

from cedarledge.__main__ import start

module, owner, method, when, *rest = sys.argv[1:]
left = int(rest[0]) if rest else 1
place = getattr(import_module(module), owner)
plain = getattr(place, method)


@wraps(plain)
def stopping(*args: object, **names: object) -> object:
    global left
    left -= 1
    if not left and when == "before":
        os.kill(os.getpid(), signal.SIGSTOP)
    given = plain(*args, **names)
    if not left and when == "after":
        os.kill(os.getpid(), signal.SIGSTOP)
    return given


setattr(place, method, stopping)
sys.exit(start())
