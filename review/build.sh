#!/bin/sh
# Builds the stand-ins of the review's scripts: they are Python files and are only compiled.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
