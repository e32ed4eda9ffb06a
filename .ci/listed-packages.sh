#!/bin/sh
# Prints the Debian packages that a deployment file lists under `packages`, one a line: .ci/listed-packages.sh [FILE].
# The list in deploy/system.toml is the only one of the packages that the platform's build needs; CI and the test of
# that list read it with this script.
set -eu
file=${1:-$(dirname "$0")/../deploy/system.toml}
awk '
  /^packages[ \t]*=/ { inside = 1 }
  inside {
    line = $0
    while (match(line, /"[^"]*"/)) {
      print substr(line, RSTART + 1, RLENGTH - 2)
      line = substr(line, RSTART + RLENGTH)
    }
    if (line ~ /\]/) exit
  }' "$file"
