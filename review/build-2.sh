#!/bin/bash
# The stand-ins of these scripts are Python programs, which need no build; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import ast, pathlib
for path in [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/*.py")]:
    if path.parts[0] == "lib-2" or int(path.parts[0]) >= 6:
        ast.parse(path.read_text(), str(path))
for path in pathlib.Path("../test/process/lib").glob("prepared_platform.py"):
    ast.parse(path.read_text(), str(path))
P
test -x ../target/bin/teaselfold-gateway
