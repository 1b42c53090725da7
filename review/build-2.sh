#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the programs of the deploy file: one program a case,
# with its stand-ins. It needs the compiler and nlohmann-json, which the deploy file lists, and no library of the
# project, so it builds beside any version.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review
mkdir -p "$out"
for source in review/[4-9]/tests/case.cpp; do
    number=$(basename "$(dirname "$(dirname "$source")")")
    g++ -std=c++20 -O1 -pthread "$source" -o "$out/case-$number"
done
