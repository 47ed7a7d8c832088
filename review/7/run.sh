#!/usr/bin/env bash
# Exits with 1 if more than three requests from kept channels are passed on to a sound server and
# their channels are closed without an answer, 0 if not, 2 if the case could not run. TROUBLE=0: the
# same release without the long idle timeout.
set -u
cd "$(dirname "$0")"
exec python3 case.py
