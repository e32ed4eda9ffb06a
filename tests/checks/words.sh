#!/bin/sh
# Checks that former names no longer occur in the packages that the table of docs/GLOSSARY.md lists for them:
# words.sh SOURCE [PAGE]. Both code and comments are searched, for the name as a word and as a part of an identifier
# (`ring_file`, `RingLog`). Exempt are the schema's names (wire::, wire_generated), includes, and the names of files on
# disk ("ring-", the magic).
set -eu
source=$1
page=${2:-$source/docs/GLOSSARY.md}
cd "$source"
table=$(mktemp)
prepared=$(mktemp -d)
trap 'rm -rf "$table" "$prepared"' EXIT

# Writes one line for each pair of a former name and a path that must not contain it.
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

# Prepares each file once: removes the exemptions and splits camel case, so that a name within an identifier is found.
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
  [ -e "$path" ] || { echo "$path: listed in the table, but does not exist"; found=1; continue; }
  hits=$(cd "$prepared" && grep -rHniE "(^|[^a-z])${word}s?([^a-z]|\$)" "$path" || true)
  [ -z "$hits" ] && continue
  found=1
  echo "$hits" | sed "s#^\([^:]*\):#\1: '$word': #"
done < "$table"
echo "$pairs pairs of a name and a path checked"
[ "$pairs" -gt 0 ] && [ "$found" = 0 ]
