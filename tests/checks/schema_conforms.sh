#!/bin/sh
# Checks that the formats on the wire and on disk have not changed:
# schema_conforms.sh SOURCE [PRESENT [FORMER [RENAMES]]]. The names of the former schema are replaced as RENAMES lists
# them; the present schema is then compared with it twice: by `flatc --conform`, which skips types that it does not find
# by name, and by schema_compare.awk, which skips none.
set -eu
source=$1
present=${2:-$source/schema/wire.fbs}
former=${3:-$source/schema/former/wire.fbs}
renames=${4:-$source/schema/former/renames}
[ -r "$renames" ] || { echo "$renames: it cannot be read"; exit 2; }
checks=$(cd "$(dirname "$0")" && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

awk -v renames="$renames" -f "$checks/schema_lines.awk" "$former" > "$folder/former.lines"
awk -f "$checks/schema_lines.awk" "$present" > "$folder/present.lines"
awk -f "$checks/schema_print.awk" "$folder/former.lines" > "$folder/former.fbs"

different=0
flatc --conform "$folder/former.fbs" "$present" || different=1
awk -f "$checks/schema_compare.awk" "$folder/former.lines" "$folder/present.lines" || different=1
exit "$different"
