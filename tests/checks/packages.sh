#!/bin/sh
# Checks that the packages listed by the deployment file provide every file that the clean build used:
# packages.sh SOURCE USED_FILES [PACKAGE_TO_LEAVE_OUT].
#
# Each used file must belong to a package of the closure: the listed packages, the essential packages, which every
# installation has, and all packages that these depend or pre-depend on. The closure is computed from dpkg's data about
# the installed packages, without a network. Recommended packages are left out, since an installation may omit them. Of
# alternatives (`a | b`) the first installed one counts. Prints a line for each file outside the closure and then exits
# with 1.
set -eu
source=$1
used=$2
left_out=${3:-}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

sh "$source/.ci/listed-packages.sh" "$source/deploy/system.toml" | { grep -vxF -e "${left_out:-/}" || true; } \
  > "$work/listed"
dpkg-query -W -f '${db:Status-Status}|${Package}|${Essential}|${Provides}|${Pre-Depends}, ${Depends}\n' \
  > "$work/installed"

awk -F'|' -v listed="$work/listed" '
  function bare_name(name) { gsub(/\([^)]*\)|\[[^]]*\]|:[a-z0-9]+|[ \t]/, "", name); return name }
  function add_to_closure(name) { if (!(name in closure)) { closure[name] = 1; queue[++last] = name } }
  # The installed package of this name, or else the first installed one that provides it; "" if there is neither.
  function installed_package(name) { return name in depends ? name : (name in provider ? provider[name] : "") }
  $1 == "installed" {
    # Alternatives are separated by the same character as the fields: all fields after the fourth are dependencies.
    rest = $5
    for (i = 6; i <= NF; ++i) rest = rest "|" $i
    depends[$2] = rest
    if ($3 == "yes") essential[$2] = 1
    count = split($4, names, ",")
    for (i = 1; i <= count; ++i) if (!(bare_name(names[i]) in provider)) provider[bare_name(names[i])] = $2
  }
  END {
    while ((getline name < listed) > 0) {
      if (installed_package(name) == "") { print "not installed: " name > "/dev/stderr"; exit 1 }
      add_to_closure(installed_package(name))
    }
    for (name in essential) add_to_closure(name)
    for (first = 1; first <= last; ++first) {
      count = split(depends[queue[first]], parts, ",")
      for (i = 1; i <= count; ++i) {
        choices = split(parts[i], choice, "|")
        for (j = 1; j <= choices; ++j) {
          name = installed_package(bare_name(choice[j]))
          if (name != "") { add_to_closure(name); break }
        }
      }
    }
    for (name in closure) print name
  }' "$work/installed" > "$work/closure"

# Finds the package of each file. dpkg lists some files under their path from before /bin, /sbin and /lib moved to /usr.
{ cat "$used"; sed -n 's#^/usr\(/s\{0,1\}bin/\|/lib\)#\1#p' "$used"; } > "$work/paths"
xargs dpkg -S < "$work/paths" > "$work/owners" 2> "$work/unowned" || true

awk -v closure="$work/closure" -v owners="$work/owners" '
  BEGIN {
    while ((getline name < closure) > 0) { there[name] = 1; ++size }
    while ((getline line < owners) > 0) {
      split_at = index(line, ": /")
      if (line ~ /^diversion by/ || split_at == 0) continue
      owner[substr(line, split_at + 2)] = substr(line, 1, split_at - 1)
    }
  }
  {
    path = $0
    if (!(path in owner)) sub(/^\/usr/, "", path)
    if (!(path in owner)) { print $0 ": belongs to no package"; ++bad; next }
    count = split(owner[path], names, ", ")
    provided = 0
    for (i = 1; i <= count; ++i) { sub(/:.*/, "", names[i]); if (names[i] in there) provided = 1 }
    if (provided) ++good
    else { print $0 ": of " owner[path] ", which no listed package brings"; ++bad }
  }
  END {
    print good + 0 " used files are brought by the listed packages (" size " with all they depend on), " bad + 0 " are not"
    exit bad > 0 || good == 0
  }' "$used"
