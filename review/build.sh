#!/bin/sh
# Builds every stand-in that the cases start. They are Python files on the standard library alone: a check that the
# interpreter is there and that each file compiles is all there is to build. The host itself is built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else "Python 3.9 or later is needed")'
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in lib/standin.py [0-9]/run.py; do
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' "$file" "$out/compiled.pyc"
    echo "compiles: $file"
done
