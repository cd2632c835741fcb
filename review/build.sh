#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the review's cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -pthread kit/standin.cc -o bin/standin
for driver in [1-5]/case.cc; do
  [ -e "$driver" ] || continue
  g++ -std=c++20 -O1 -Wall -pthread -Ikit "$driver" -o "bin/case-${driver%%/*}"
done
