#!/bin/sh
# Checks that the stand-ins of the cases compile. They are Python files that need only its standard library.
cd "$(dirname "$0")" || exit 2
for file in standins.py */case.py; do
    ../.venv/bin/python -B -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 2
done
