#!/bin/sh
# The stand-ins are scripts in Python that use its standard library only, so
# there is nothing to build; this checks that they can be read.
cd "$(dirname "$0")" && exec python3 - <<'END'
import ast, glob
for it in sorted(glob.glob("*.py") + glob.glob("*/*.py")):
    ast.parse(open(it, encoding="utf-8").read(), it)
print("the stand-ins need no build")
END
