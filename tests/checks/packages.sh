#!/bin/sh
# Checks that the packages a deployment lists bring every file that the clean build used:
# packages.sh SOURCE USED_FILES [PACKAGE_TO_LEAVE_OUT].
#
# The closure is worked out from the package tool's own data of what is installed, without a network: all that the
# listed packages (pre-)depend on. Recommended packages do not count, since an installation may leave them out. Of
# alternatives (`a | b`) the first that is installed counts. Essential packages and their closure are always there.
# Each used file must belong to a package of the closure. Ends with 1 and a line for each that does not.
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
  function bare(name) { gsub(/\([^)]*\)|\[[^]]*\]|:[a-z0-9]+|[ \t]/, "", name); return name }
  function want(name) { if (!(name in closure)) { closure[name] = 1; queue[++last] = name } }
  # The package that stands for a name: itself, or the first installed one that provides it.
  function real(name) { return name in depends ? name : (name in provider ? provider[name] : "") }
  $1 == "installed" {
    # Alternatives are parted by the same sign as the fields: all behind the fourth is the dependencies.
    rest = $5
    for (i = 6; i <= NF; ++i) rest = rest "|" $i
    depends[$2] = rest
    if ($3 == "yes") essential[$2] = 1
    count = split($4, names, ",")
    for (i = 1; i <= count; ++i) if (!(bare(names[i]) in provider)) provider[bare(names[i])] = $2
  }
  END {
    while ((getline name < listed) > 0) {
      if (real(name) == "") { print "not installed: " name > "/dev/stderr"; exit 1 }
      want(real(name))
    }
    for (name in essential) want(name)
    for (first = 1; first <= last; ++first) {
      count = split(depends[queue[first]], parts, ",")
      for (i = 1; i <= count; ++i) {
        choices = split(parts[i], choice, "|")
        for (j = 1; j <= choices; ++j) {
          name = real(bare(choice[j]))
          if (name != "") { want(name); break }
        }
      }
    }
    for (name in closure) print name
  }' "$work/installed" > "$work/closure"

# The owners: dpkg knows some files by their path before /bin, /sbin and /lib moved below /usr.
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
    brought = 0
    for (i = 1; i <= count; ++i) { sub(/:.*/, "", names[i]); if (names[i] in there) brought = 1 }
    if (brought) ++good
    else { print $0 ": of " owner[path] ", which no listed package brings"; ++bad }
  }
  END {
    print good + 0 " used files are brought by the listed packages (" size " with all they depend on), " bad + 0 " are not"
    exit bad > 0 || good == 0
  }' "$used"
