#!/usr/bin/env bash
# Checks the stand-ins of the scripts; they are Python programs and need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
for file in lab.py */case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
