#!/bin/sh
# Builds the stand-ins of review/rig2, which need the standard library only.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review/rig2
