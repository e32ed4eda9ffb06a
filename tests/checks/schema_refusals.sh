#!/bin/sh
# Tests schema_conforms.sh with sample schemas: schema_refusals.sh CHECKS. The same format must pass under other names
# and in another layout. Each change of the format must be refused with exit code 1 and named in the output, and each
# malformed input with exit code 2.
set -eu
checks=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
failed=0

cat > former.fbs <<'SAMPLE'
namespace old.names;
enum Colour:ubyte { red, green = 4 }
struct Point { x:ulong; y:ulong; }
table Part { name:string; address:string; weight:uint = 1; }
table Whole { point:Point (native_inline); parts:[Part]; colour:Colour; age:long = -1; }
table Other { count:uint; }
union Body { Whole, Other }
table Frame { body:Body; }
root_type Frame;
SAMPLE
: > no-renames

# run RENAMES: prints the output of the check of present.fbs, then its exit code.
run() { sh "$checks/schema_conforms.sh" . present.fbs former.fbs "$1" 2>&1 && echo "rc 0" || echo "rc $?"; }
passes() {
  output=$(run "$2")
  case $output in *"rc 0") echo "passes: $1" ;; *) echo "NOT PASSED: $1: $output"; failed=1 ;; esac
}
# refused NAME CODE WORDS [RENAMES]: the check must exit with CODE and its output must contain WORDS.
refused() {
  output=$(run "${4:-no-renames}")
  case $output in *"$3"*"rc $2") echo "refused: $1" ;; *) echo "NOT REFUSED: $1: $output"; failed=1 ;; esac
}
# changed SED-SCRIPT: writes the sample with one change to present.fbs; the script must change something.
changed() {
  sed "$1" former.fbs > present.fbs
  if cmp -s former.fbs present.fbs; then echo "NOT CHANGED: $1"; failed=1; fi
}

cp former.fbs present.fbs
passes "the same" no-renames

cat > renames <<'SAMPLE'
# a comment
namespace old.names new.names.here
Whole Message
Part Piece   # a table within others
Part.name title
Whole.parts pieces
Colour Tint
Colour.green lime
Body Content
SAMPLE
cat > present.fbs <<'SAMPLE'
// Other names and another layout; new fields and types are appended.
namespace new.names.here;
/* table Old {
   gone:ulong; } */
table Other { count:uint32; } table Added { count:ulong; }
struct Point { x:ulong; // table Point { }
  y:uint64;
}
enum Tint : ubyte { red, lime=4, blue }
table Piece {
  title : string;
  address
    : string;
  weight:uint=1; fresh:bool; }
table Message { point:Point; pieces:[ Piece ]; colour:Tint; age:long = -1; }
union Content { Message,
  Other, Added }
table Frame { body:Content; }
root_type Frame;
SAMPLE
passes "other names, another layout, appended fields" renames
refused "other names without their list" 1 "Whole: it is gone"

changed 's/address:string/address:ulong/'
refused "a field of another type" 1 "Part: number 2 was 'address string - -', is 'address ulong - -'"
changed 's/name:string; address:string/address:string; name:string/'
refused "two fields exchanged" 1 "Part: number 1 was 'name string"
changed 's/Whole, Other/Other, Whole/'
refused "a member of the union moved" 1 "Body: number 1 was 'Whole"
changed 's/union Body { Whole/union Body { Part, Whole/'
refused "a member of the union put in between" 1 "Body: number 1 was 'Whole"
changed 's/address:string; weight/weight/'
refused "a field taken out" 1 "Part: number 2 was 'address"
changed 's/ weight:uint = 1;//'
refused "the last field taken out" 1 "Part: number 3 was 'weight uint 1 -', is ''"
changed 's/name:string;/name:string; fresh:string;/'
refused "a field put in between" 1 "Part: number 2 was 'address"
changed 's/age:long = -1/age:long/'
refused "another default" 1 "Whole: number 4 was 'age long -1 -'"
changed 's/parts:\[Part\]/parts:Part/'
refused "a list that became a single element" 1 "Whole: number 2 was 'parts [Part]"
changed 's/weight:uint = 1/weight:uint = 1 (deprecated)/'
refused "a field that is deprecated" 1 "is 'weight uint 1 deprecated'"
changed 's/y:ulong;/y:ulong; z:ulong;/'
refused "a larger struct" 1 "Point: a struct has more fields than before"
changed 's/struct Point/table Point/; s/ (native_inline)//'
refused "a struct that became a table" 1 "Point: it was 'struct', is 'table'"
changed 's/Colour:ubyte/Colour:ushort/'
refused "an enum of another type" 1 "Colour: it was 'enum ubyte', is 'enum ushort'"
changed 's/green = 4/green = 5/'
refused "another value of an enum" 1 "Colour: number 2 was 'green - 4 -'"
changed 's/^table Other.*//; s/, Other//'
refused "a table taken out" 1 "Other: it is gone"
changed 's/old.names/new.names/'
refused "another namespace without its rename" 1 "namespace was 'old.names'"
changed 's/root_type Frame/root_type Other/'
refused "another root" 1 "root was 'Frame'"

cp former.fbs present.fbs
echo "Par Piece" > renames
refused "a rename of a missing name" 2 "'Par' is renamed, but not there" renames
printf 'Part Piece\nPart Slice\n' > renames
refused "two renames of one name" 2 "'Part' is renamed twice" renames
echo "Part Piece Slice" > renames
refused "a rename of three words" 2 "not of the form OLD NEW" renames
refused "a missing list of renames" 2 "it cannot be read" none
echo 'include "other.fbs";' >> present.fbs
refused "a part of the schema in another file" 2 "'include' is not understood"

[ "$failed" = 0 ] && echo "all as they should be"
