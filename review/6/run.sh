#!/usr/bin/env bash
# Exits with 1 if a non-idempotent request is answered 503 though it has run, 0 if not, 2 if the
# case could not run. TROUBLE=0: the same without the grey server.
set -u
cd "$(dirname "$0")"
exec python3 case.py
