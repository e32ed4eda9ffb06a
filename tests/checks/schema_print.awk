# Writes the output of schema_lines.awk as a FlatBuffers schema again.

function close_type() {
  if (open) print "}"
  open = 0
}

$1 == "item" && is_union { print "  " $3 ($4 == "-" ? "" : ":" $4) ","; next }
$1 == "item" && is_enum { print "  " $3 ($5 == "-" ? "" : " = " $5) ","; next }
$1 == "item" { print "  " $3 ":" $4 ($5 == "-" ? "" : " = " $5) ($6 == "-" ? "" : " (" $6 ")") ";"; next }

{ close_type() }

$1 == "namespace" { print "namespace " $2 ";" }
$1 == "root" { print "root_type " $2 ";" }
$1 == "identifier" { print "file_identifier " $2 ";" }
$1 == "table" || $1 == "struct" || $1 == "union" || $1 == "enum" {
  is_union = $1 == "union"
  is_enum = $1 == "enum"
  print $1 " " $2 (is_enum ? ":" $3 : "") " {"
  open = 1
}

END { close_type() }
