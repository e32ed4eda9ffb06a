#!/usr/bin/env bash
# The one test command: builds everything and runs the whole suite.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -G Ninja
cmake --build build
ctest --test-dir build --output-on-failure -j 4
