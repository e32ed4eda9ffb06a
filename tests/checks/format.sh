#!/bin/sh
# Checks the layout of all C++ files against the committed .clang-format: format.sh SOURCE [fix]. With `fix` the files
# are reformatted instead. Only clang-format 14 is used, since other versions format some constructs differently.
set -eu
cd "$1"
if [ "${2:-}" = fix ]; then set -- -i; else set -- --dry-run -Werror; fi
formatter=$(command -v clang-format-14) || { echo "clang-format-14 is not installed (.ci/test-packages)"; exit 1; }
files() { find src platform programs testing tests \( -name '*.cc' -o -name '*.h' \) -print0 | sort -z; }
echo "$(files | tr -cd '\0' | wc -c) files"
files | xargs -0 -P 4 -n 16 "$formatter" "$@"
