"""Measured slopes.

The package is monkey-patched at import, so that urllib3 yields to other tasks.
"""

import eventlet

eventlet.monkey_patch()
