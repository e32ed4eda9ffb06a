#!/bin/sh
# Checks that former names are gone from the packages where the table of docs/GLOSSARY.md says so: words.sh SOURCE [PAGE].
# A name counts wherever it stands alone or as a part of an identifier (`ring_file`, `RingLog`), in code and comments.
# Left out: the schema's names (wire::, wire_generated), includes, and the names of files on disk ("ring-", magic).
set -eu
source=$1
page=${2:-$source/docs/GLOSSARY.md}
cd "$source"
table=$(mktemp)
prepared=$(mktemp -d)
trap 'rm -rf "$table" "$prepared"' EXIT

# One line for each pair: a former name, and a path that it is gone from.
awk -F'|' '
  /^[|] former [|]/ { inside = 1; next }
  inside && !/^[|]/ { exit }
  inside && !/^[|] ---/ {
    sub(/\(.*\)/, "", $2)
    words = split($2, word, ",")
    paths = split($4, path, ",")
    for (i = 1; i <= words; ++i)
      for (j = 1; j <= paths; ++j) {
        gsub(/[ \t]/, "", word[i]); gsub(/[ \t]/, "", path[j])
        if (word[i] != "" && path[j] != "") print word[i], path[j]
      }
  }' "$page" > "$table"

# Each file is prepared once: camel case is parted, so that a name within an identifier is seen.
cut -d' ' -f2 "$table" | sort -u | while read -r path; do
  [ -e "$path" ] || continue
  find "$path" -type f | while read -r file; do
    [ -e "$prepared/$file" ] && continue
    mkdir -p "$prepared/$(dirname "$file")"
    sed -e '/^#include/s/.*//' -e 's/wire:://g; s/"ring-[0-9"]*//g' -e "/^constexpr char magic/s/.*//" \
      -e 's/\([a-z]\)\([A-Z]\)/\1_\2/g' "$file" > "$prepared/$file"
  done
done

found=0
pairs=0
while read -r word path; do
  pairs=$((pairs + 1))
  [ -e "$path" ] || { echo "$path: named in the table, but not there"; found=1; continue; }
  hits=$(cd "$prepared" && grep -rHniE "(^|[^a-z])${word}s?([^a-z]|\$)" "$path" || true)
  [ -z "$hits" ] && continue
  found=1
  echo "$hits" | sed "s#^\([^:]*\):#\1: '$word': #"
done < "$table"
echo "$pairs pairs of a name and a path checked"
[ "$pairs" -gt 0 ] && [ "$found" = 0 ]
