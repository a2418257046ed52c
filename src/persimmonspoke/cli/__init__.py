"""The command-line tool."""

import warnings

# The deprecation warning addresses developers; operators can't act on it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
