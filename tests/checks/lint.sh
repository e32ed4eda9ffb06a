#!/bin/sh
# Runs clang-tidy 14 with the committed .clang-tidy over src/ and platform/: lint.sh SOURCE BUILD_FOLDER [JOBS [PATH]].
# Ends with 1 when anything is found. PATH narrows it, such as src/storage. The folder needs no finished build but the
# generated headers (target `frames`).
set -eu
source=$(readlink -f "$1")
build=$2
jobs=${3:-4}
path=${4:-"(src|platform)"}
cmake -S "$source" -B "$build" -G Ninja -DCMAKE_EXPORT_COMPILE_COMMANDS=ON > /dev/null
cmake --build "$build" --target frames > /dev/null
log=$build/lint.log
# With WarningsAsErrors each finding makes run-clang-tidy end with 1.
if run-clang-tidy-14 -quiet -j "$jobs" -p "$build" "^$source/$path/" > "$log" 2>&1; then
  echo "clean: $(grep -c '^clang-tidy-14 ' "$log") files"
  exit 0
fi
# A header's finding comes once for each file that includes it.
grep -E '(warning|error):' "$log" | sed 's/\x1b\[[0-9;]*m//g' | sort -u
exit 1
