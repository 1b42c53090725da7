#!/usr/bin/env bash
# Builds the programs of the cases into review/out, against the libraries of the deploy file's build in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
libraries=()
for name in http event_loop verdict; do
    library=target/libs/$name/libyc_$name.a
    [ -f "$library" ] || { echo "run the build of deploy/system.toml first: there is no $library" >&2; exit 2; }
    libraries+=("$library")
done
mkdir -p review/out
flags=(-std=c++20 -O1 -g -Wall -Wextra -Wno-unused-parameter
    -Ilibs/http/include -Ilibs/event_loop/include -Ilibs/verdict/include)
compile() {
    g++ "${flags[@]}" -c "$1" -o "review/out/$(basename "$1" .cpp).o"
}
pids=()
for source in bench/standins/platform_store.cpp review/tests/*.cpp; do
    compile "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for source in review/tests/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = support ] && continue
    objects=("review/out/$name.o" review/out/support.o review/out/platform_store.o)
    [ "$name" = server_process ] && objects=("review/out/$name.o")
    g++ -o "review/out/$name" "${objects[@]}" "${libraries[@]}" -lssl -lcrypto -pthread
done
