# Writes a FlatBuffers schema as one line for each of its parts, in the order of the file:
#   namespace NAME | root TYPE | identifier TEXT
#   table|struct|union|enum NAME [TYPE]
#   item OWNER NAME TYPE DEFAULT ATTRIBUTES        a field, a member of a union or a value of an enum; '-' if absent
# Comments, layout and attributes that only concern generated code are dropped. With `-v renames=FILE` names are
# replaced as that file lists them. Exits with 2 and one line on standard error for input that it does not understand.

function refuse(why) {
  print FILENAME ": " why > "/dev/stderr"
  refused = 1
  exit 2
}

function read_renames(    line, word, count) {
  while ((getline line < renames) > 0) {
    sub(/#.*/, "", line)
    count = split(line, word, " ")
    if (count == 0) continue
    if (count == 3 && word[1] == "namespace") {
      word[1] = "namespace " word[2]
      word[2] = word[3]
    } else if (count != 2) {
      refuse("a rename is not of the form OLD NEW: " line)
    }
    if (word[1] in new_name) refuse("'" word[1] "' is renamed twice")
    new_name[word[1]] = word[2]
  }
}

function renamed(name) {
  if (!(name in new_name)) return name
  used[name] = 1
  return new_name[name]
}

# A type in one spelling: brackets kept, the element type under its new name, a number type under one of its two names.
function type_name(type,    inner) {
  inner = type
  gsub(/[][]/, "", inner)
  if (inner in plain_number) inner = plain_number[inner]
  else inner = renamed(inner)
  return type ~ /^\[/ ? "[" inner "]" : inner
}

function take(expected) {
  if (expected != "" && token[at] != expected) refuse("'" expected "' expected, '" token[at] "' found")
  return token[at++]
}

# The text before the next token that is in `ends`, without blanks.
function take_until(ends,    text) {
  text = ""
  while (at <= count && index(ends, token[at]) == 0) text = text token[at++]
  if (at > count) refuse("the file ends too early")
  return text
}

function take_attributes(    text, attribute, number, i, kept) {
  if (token[at] != "(") return "-"
  take("(")
  text = take_until(")")
  take(")")
  number = split(text, attribute, ",")
  kept = ""
  for (i = 1; i <= number; ++i)
    if (attribute[i] !~ /^(native|cpp)_/) kept = kept (kept == "" ? "" : ",") attribute[i]
  return kept == "" ? "-" : kept
}

function default_value(    value) {
  if (token[at] != "=") return "-"
  take("=")
  value = take_until(";,}(")
  return value == "0" || value == "false" ? "-" : value
}

function read_fields(owner, new_owner,    field, type) {
  while (token[at] != "}") {
    field = take("")
    take(":")
    type = type_name(take_until(";=("))
    value = default_value()
    print "item", new_owner, renamed_field(owner, field), type, value, take_attributes()
    take(";")
  }
  take("}")
}

function renamed_field(owner, field,    key) {
  key = owner "." field
  return key in new_name ? renamed(key) : field
}

function read_members(owner, kind,    member, type) {
  while (token[at] != "}") {
    member = take("")
    type = "-"
    if (token[at] == ":") {
      take(":")
      type = type_name(take_until(",}"))
    }
    member = kind == "union" ? renamed(member) : renamed_field(owner, member)
    print "item", renamed(owner), member, type, default_value(), "-"
    if (token[at] == ",") take(",")
  }
  take("}")
}

function read_type(kind,    name, base) {
  name = take("")
  base = ""
  if (kind == "enum") {
    take(":")
    base = " " type_name(take_until("{("))
  }
  attributes = take_attributes()
  print kind, renamed(name) base (attributes == "-" ? "" : " " attributes)
  take("{")
  if (kind == "table" || kind == "struct") read_fields(name, renamed(name))
  else read_members(name, kind)
}

function read_namespace(    name) {
  name = take_until(";")
  take(";")
  print "namespace", ("namespace " name) in new_name ? renamed("namespace " name) : name
}

function read_schema(    word) {
  while (at <= count) {
    word = take("")
    if (word == "table" || word == "struct" || word == "union" || word == "enum") read_type(word)
    else if (word == "namespace") read_namespace()
    else if (word == "root_type") { print "root", renamed(take_until(";")); take(";") }
    else if (word == "file_identifier") { print "identifier", take_until(";"); take(";") }
    else if (word == "attribute" || word == "file_extension") { take_until(";"); take(";") }
    else refuse("'" word "' is not understood")
  }
}

BEGIN {
  pairs = split("int8 byte uint8 ubyte int16 short uint16 ushort int32 int uint32 uint int64 long uint64 ulong " \
                "float32 float float64 double", pair, " ")
  for (i = 1; i < pairs; i += 2) plain_number[pair[i]] = pair[i + 1]
  if (renames != "") read_renames()
}

{
  sub(/\/\/.*/, "")
  text = text " " $0
}

END {
  if (refused) exit 2
  while ((start = index(text, "/*")) > 0) {
    length_inside = index(substr(text, start + 2), "*/")
    if (length_inside == 0) refuse("a comment has no end")
    text = substr(text, 1, start - 1) " " substr(text, start + 2 + length_inside + 1)
  }
  gsub(/[{}();:,=]/, " & ", text)
  count = split(text, token, " ")
  at = 1
  read_schema()
  for (name in new_name)
    if (!(name in used)) refuse("'" name "' is renamed, but not there")
}
