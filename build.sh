#!/usr/bin/env bash
# Builds and runs yuccachute. Usage: ./build.sh [build|test|demo [--keep]|measure|soak [OPTIONS]|lint|format|clean]
set -euo pipefail
cd "$(dirname "$0")"

out=out
packages=(libgrpc++-dev libprotobuf-dev libboost1.81-dev libspdlog-dev libfmt-dev libtclap-dev catch2
    nlohmann-json3-dev liburcu-dev libxxhash-dev libzstd-dev libssl-dev libinih-dev
    ccache ninja-build cmake g++ pkg-config openssl curl gnuplot-nox clang-format clang-tidy)

# Installs what is missing, from Debian's registry by name.
install_packages() {
    local missing=()
    for package in "${packages[@]}"; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
    done
    [ "${#missing[@]}" -eq 0 ] && return
    echo "installing ${missing[*]}"
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -q >/dev/null
    apt-get install -y -q --no-install-recommends "${missing[@]}" >/dev/null
}

build() {
    install_packages
    cmake -S . -B "$out" -G Ninja >"$out.cmake.log" 2>&1 || { cat "$out.cmake.log"; exit 1; }
    mv "$out.cmake.log" "$out/cmake.log"
    ninja -C "$out" | tail -n 1
}

sources() {
    git ls-files '*.cpp' '*.h' | grep -v '/generated/'
}

lint() {
    check_names
    sources | xargs clang-format --dry-run --Werror
    # clang-tidy knows no -std=c++20 library that boost outcome needs less than this; generated code is left out.
    sources | grep '\.cpp$' | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$out" 2>/dev/null
}

# The platform's header names, paths and keys are decoded in platform/ alone. Tests and stand-ins speak them too.
check_names() {
    local names='Yuccachute-|/kv-(key|range|txn|watch|lease|keep)|"(servers|op)/|/lots/|max_attempts"|target_latency_ms'
    local leaks
    leaks=$(git grep -nE "$names" -- '*.cpp' '*.h' ':!platform' ':!bench/standins' ':(exclude,glob)**/tests/**' ':!tests') || true
    [ -z "$leaks" ] && return
    echo "names of the platform outside of platform/:"
    echo "$leaks"
    exit 1
}

# Runs all tests. A test program that KNOWN-RED.txt names ("NAME: cause ...") may fail; its line is printed.
run_tests() {
    local red='^$'
    if [ -s KNOWN-RED.txt ]; then
        echo "known to be red, passed over:"
        cat KNOWN-RED.txt
        red="^($(sed -n 's/^\([A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt | paste -sd '|'))\$"
    fi
    (cd "$out" && ctest --output-on-failure --no-tests=error -j 4 -E "$red")
}

case "${1:-build}" in
build) build ;;
test)
    build
    lint
    run_tests
    ;;
demo)
    build
    shift
    tools/demo.sh "$@"
    ;;
measure)
    build
    shift
    bench/measure.sh "$@"
    ;;
soak)
    build
    shift
    "$out/bin/soak" "$@"
    ;;
lint)
    build
    lint
    ;;
format) sources | xargs clang-format -i ;;
clean) rm -rf "$out" ;;
*)
    sed -n '2s/^# //p' "$0"
    exit 2
    ;;
esac
