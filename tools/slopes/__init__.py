"""Measured slopes; patched first, because urllib3 must yield to other tasks."""

import eventlet

eventlet.monkey_patch()
