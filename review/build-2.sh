#!/bin/bash
# Builds the stand-ins and trials of review/6 and later into review/kit-2/bin.
# Needs the compiler and the JSON headers that the project declares.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
mkdir -p bin
for trial in *.cc; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "bin/${trial%.cc}" "$trial" -lpthread
done
