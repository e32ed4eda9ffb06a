# Compares two schemas in the form that schema_lines.awk writes: FORMER PRESENT. Each type of FORMER must be in PRESENT
# with the same items in the same order; a table, union or enum may have further items after them. Exits with 1 if the
# schemas differ.

function report(difference) {
  print difference
  different = 1
}

function rest_of_line(from,    text, i) {
  text = $from
  for (i = from + 1; i <= NF; ++i) text = text " " $i
  return text
}

FNR == 1 { ++file }

$1 == "item" {
  item[file, $2, ++items[file, $2]] = rest_of_line(3)
  next
}

$1 == "table" || $1 == "struct" || $1 == "union" || $1 == "enum" {
  kind[file, $2] = $1 (NF > 2 ? " " rest_of_line(3) : "")
  if (file == 1) type[++types] = $2
  next
}

{ other[file, $1] = rest_of_line(2); names[$1] = 1 }

END {
  if (types == 0) report("the former schema has no types")
  for (name in names)
    if (other[1, name] != other[2, name])
      report(name " was '" other[1, name] "', is '" other[2, name] "'")
  for (t = 1; t <= types; ++t) {
    name = type[t]
    if (!((2, name) in kind)) {
      report(name ": it is gone")
      continue
    }
    if (kind[1, name] != kind[2, name])
      report(name ": it was '" kind[1, name] "', is '" kind[2, name] "'")
    for (i = 1; i <= items[1, name]; ++i)
      if (item[1, name, i] != item[2, name, i])
        report(name ": number " i " was '" item[1, name, i] "', is '" item[2, name, i] "'")
    if (kind[1, name] ~ /^struct/ && items[2, name] > items[1, name])
      report(name ": a struct has more fields than before")
  }
  if (different) exit 1
  print types " types of the former schema are as they were"
}
