"""Tests over real sockets, in a process patched as the daemon is.

The patch comes first, because locks made before it would not be replaced.
"""

import eventlet

eventlet.monkey_patch()
