#!/usr/bin/env bash
# Runs the commands of the README's section "Quick start", pasted as one block, in a temporary folder with links to the
# programs. They must end in a streamed answer. Usage: quickstart.sh BUILD_FOLDER README.
set -euo pipefail
build=$(cd "$1" && pwd)
readme=$2
folder=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null || true; rm -rf "$folder"' EXIT
for name in fake_backend pipitspool-config-store pipitspool-router pipitspoolctl; do ln -s "$build/$name" "$folder/$name"; done
awk '/^## /{on=($0=="## Quick start")} on && /^    /{print substr($0,5)}' "$readme" | sed 's/^cd build$/cd ./' > "$folder/paste.sh"
grep -q 'curl -N' "$folder/paste.sh"
cd "$folder"
mkdir -p k1 k2 k3
# Standard error is kept apart: curl writes its progress there, without line ends, even in front of an event.
timeout 60 bash -m paste.sh > out.txt 2> errors.txt || { cat out.txt errors.txt; exit 1; }
cat out.txt | grep -a '^data: ' | tail -3
grep -aq '^data: \[DONE\]' out.txt || { cat out.txt errors.txt; exit 1; }
