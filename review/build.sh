#!/bin/sh
# Compiles the stand-ins that the scripts of this review start; they need no packages.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins
