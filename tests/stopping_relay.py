"""A relay that pauses itself by SIGSTOP right before or after a call of a method.

Usage: python stopping_relay.py MODULE CLASS METHOD before|after [NUMBER]. NUMBER is that of the call, by
default 1.
"""

from __future__ import annotations

import os
import signal
import sys
from functools import wraps
from importlib import import_module

from cedarledge.__main__ import start

module, class_name, method, moment, *rest = sys.argv[1:]
calls_left = int(rest[0]) if rest else 1
patched_class = getattr(import_module(module), class_name)
original = getattr(patched_class, method)


@wraps(original)
def stopping(*args: object, **keywords: object) -> object:
    global calls_left
    calls_left -= 1
    if not calls_left and moment == "before":
        os.kill(os.getpid(), signal.SIGSTOP)
    result = original(*args, **keywords)
    if not calls_left and moment == "after":
        os.kill(os.getpid(), signal.SIGSTOP)
    return result


setattr(patched_class, method, stopping)
sys.exit(start())
