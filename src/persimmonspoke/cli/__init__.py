"""The command-line tool."""

import warnings

# Operators who run the tool can do nothing about this notice of a library's.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
