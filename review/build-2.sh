#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs of the standard
# library, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for it in deployment2.py [6-9]/case.py 10/case.py; do
  [ ! -e "$it" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
