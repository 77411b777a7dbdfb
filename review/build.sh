#!/bin/sh
# Checks what the scripts need; the stand-ins are plain Python without dependencies.
cd "$(dirname "$0")" || exit 1
test -d ../target/deps || { echo "run the build of the deploy file first"; exit 1; }
for file in lib/*.py [1-5]/case.py; do
    if [ -f "$file" ]; then
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file" || exit 1
    fi
done
