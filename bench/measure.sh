#!/usr/bin/env bash
# Runs the named scenarios (all, if none is named) and writes JSON, tables and plots into out/measure.
set -euo pipefail
cd "$(dirname "$0")/.."
names=("$@")
[ "${#names[@]}" -gt 0 ] || for file in bench/scenarios/*.ini; do names+=("$(basename "$file" .ini)"); done
for name in "${names[@]}"; do
    out/bin/yuccachute-load --out out/measure "bench/scenarios/$name.ini"
    if [ -e "out/measure/$name.gnuplot" ]; then
        (cd out/measure && gnuplot "$name.gnuplot")
    fi
done
