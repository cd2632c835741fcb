#!/usr/bin/env bash
# Builds everything into build/. Arguments are passed to ninja.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR="$PWD"
cmake -S . -B build -G Ninja > build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
ninja -C build "$@"
