#!/bin/sh
# Runs processes of two builds of this project together: mixed_versions.sh OLD NEW [WORK_FOLDER].
#
# OLD and NEW are build folders that hold the programs. Three checks:
#   1. config stores, routers and pipitspoolctl of both builds form one fleet, in both arrangements;
#   2. NEW opens the data folders and settings files that OLD wrote, after stores were upgraded one at a time;
#   3. a fleet of pipitspool-node in which every start of a process switches the build, on the same data folder,
#      under platform_fleet_test, which checks every answer.
# Prints a line for each check. Exit status: 0 when all passed, 1 when a check failed, 2 for bad usage.
# Everything listens on 127.195.0.0/16 and 127.196.0.0/16; the work folder is kept when a check fails.
set -u

usage() {
  echo "usage: sh testing/mixed_versions.sh OLD_BUILD_FOLDER NEW_BUILD_FOLDER [WORK_FOLDER]" >&2
  exit 2
}

[ $# -eq 2 ] || [ $# -eq 3 ] || usage
for folder in "$1" "$2"; do
  for program in pipitspool-config-store pipitspool-router pipitspoolctl pipitspool-node fake_backend platform_fleet_test; do
    if [ ! -x "$folder/$program" ]; then
      echo "mixed_versions: $folder/$program is missing or not executable" >&2
      exit 2
    fi
  done
done
old=$(cd "$1" && pwd)
new=$(cd "$2" && pwd)
work=${3:-$(mktemp -d)}
mkdir -p "$work" || exit 2
work=$(cd "$work" && pwd)
if [ -n "$(ls -A "$work")" ]; then
  echo "mixed_versions: the work folder $work is not empty" >&2
  exit 2
fi
cd "$work" || exit 2

timeout_seconds=30
stores="127.195.0.1:7000,127.195.0.2:7000,127.195.0.3:7000"
failures=0
checks=0

# Each running process has a file NAME.pid in the work folder.
stop() {  # NAME [SIGNAL]
  pid=$(cat "$1.pid" 2>/dev/null) || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  rm -f "$1.pid"
}

stop_all() {
  for file in *.pid; do
    [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
  done
  wait
  rm -f ./*.pid
}
trap 'stop_all' EXIT
trap 'exit 1' INT TERM

check() {  # DESCRIPTION COMMAND...
  description=$1
  shift
  checks=$((checks + 1))
  if "$@" > check.out 2>&1; then
    echo "ok      $description"
  else
    failures=$((failures + 1))
    echo "FAILED  $description"
    sed 's/^/          /' check.out | tail -n 15
  fi
}

start_backend() {
  "$new/fake_backend" platform --http 127.195.0.30:9100 > platform.log 2>&1 & echo $! > platform.pid
  for zone in a b; do
    "$new/fake_backend" worker --http "127.195.0.3$([ $zone = a ] && echo 1 || echo 2):9001" --id "w$zone" > "w$zone.log" 2>&1 &
    echo $! > "w$zone.pid"
  done
  curl -sf --retry 20 --retry-connrefused --retry-delay 1 -X PUT 127.195.0.30:9100/workers -d '{"workers":[
    {"id":"wa","address":"127.195.0.31:9001","zone":"a","pool":"main","incarnation":1,"state":"serving"},
    {"id":"wb","address":"127.195.0.32:9001","zone":"b","pool":"main","incarnation":1,"state":"serving"}]}' > /dev/null
}

# Both programs read their settings from a file, so that the format of that file is checked too.
start_store() {  # BUILD NUMBER
  if [ ! -e "k$2.conf" ]; then
    cat > "k$2.conf" <<END
name=k$2
zone=a
mesh=127.195.0.$2:7000
http=127.195.0.$2:7080
seeds=$stores
data=$work/k$2
founders=k1,k2,k3
END
  fi
  "$1/pipitspool-config-store" --settings "k$2.conf" >> "k$2.log" 2>&1 &
  echo $! > "k$2.pid"
}

start_router() {  # BUILD NUMBER ZONE
  cat > "p$2.conf" <<END
name=p$2
zone=$3
mesh=127.195.0.1$2:7000
http=127.195.0.1$2:7080
seeds=$stores
platform=127.195.0.30:9100
END
  "$1/pipitspool-router" --settings "p$2.conf" >> "p$2.log" 2>&1 &
  echo $! > "p$2.pid"
}

ready() {  # BUILD NODE_ADDRESS
  "$1/pipitspoolctl" wait --within "$timeout_seconds" --node "$2:7080"
}

write_description() {  # FILE LANE_NAME
  cat > "$1" <<END
{"format":1,
 "pools":[{"name":"main","model":"tribute","slots":60}],
 "lanes":[{"name":"$2","binding":"match model = \"tribute\"; pool main","policy":"wait 2s; repeat never"}]}
END
}

apply_and_read() {  # BUILD NODE_ADDRESS LANE_NAME
  write_description "$3.json" "$3"
  "$1/pipitspoolctl" apply "$3.json" --node "$2:7080" || return 1
  reads_as "$1" "$2" "$3"
}

# Whether the node returns the configuration byte for byte, within the time limit.
reads_as() {  # BUILD NODE_ADDRESS LANE_NAME
  end=$(($(date +%s) + timeout_seconds))
  while :; do
    "$1/pipitspoolctl" read --node "$2:7080" > read.json 2> read.err && cmp -s read.json "$3.json" && return 0
    [ "$(date +%s)" -lt "$end" ] || break
  done
  echo "$2 does not return $3.json:"
  cat read.json read.err
  return 1
}

chat() {  # NODE_ADDRESS
  curl -sN --max-time "$timeout_seconds" "$1:7080/v1/chat/completions" \
    -d '{"model":"tribute","stream":true,"messages":[{"role":"user","content":"hello"}]}' > answer.txt
  grep -q '^data: \[DONE\]' answer.txt || { cat answer.txt; return 1; }
}

# Exactly one store holds the lease of the repair role: its last event about the lease is 310 (acquired), not 311.
one_store_holds_the_lease() {
  end=$(($(date +%s) + timeout_seconds))
  while :; do
    holders=0
    for number in 1 2 3; do
      last=$(grep -oE ' E(310|311) ' "k$number.log" | tail -n 1)
      [ "$last" = " E310 " ] && holders=$((holders + 1))
    done
    [ "$holders" -eq 1 ] && return 0
    [ "$(date +%s)" -lt "$end" ] || break
  done
  echo "$holders stores hold the lease"
  grep -E ' E(310|311) ' k?.log
  return 1
}

drain_and_restore() {  # BUILD NODE_ADDRESS
  "$1/pipitspoolctl" empty b --node "$2:7080" || return 1
  "$1/pipitspoolctl" read --marks --node "$2:7080" | grep -q 'emptied b' || { echo "zone b is not marked as drained"; return 1; }
  "$1/pipitspoolctl" refill b --node "$2:7080"
}

# Runs one fleet of three stores, two routers and pipitspoolctl, each of the build that is given for it.
fleet() {  # TITLE STORE1 STORE2 STORE3 ROUTER1 ROUTER2 CTL
  title=$1
  rm -rf k1 k2 k3 ./*.conf ./*.json k?.log
  start_backend
  start_store "$2" 1
  start_store "$3" 2
  start_store "$4" 3
  start_router "$5" 1 a
  start_router "$6" 2 b
  check "$title: router 1 becomes ready" ready "$7" 127.195.0.11
  check "$title: router 2 becomes ready" ready "$7" 127.195.0.12
  check "$title: a change is taken at router 1" apply_and_read "$7" 127.195.0.11 first
  check "$title: the change reaches router 2" reads_as "$7" 127.195.0.12 first
  check "$title: a change is taken at router 2" apply_and_read "$7" 127.195.0.12 second
  check "$title: the change reaches router 1" reads_as "$7" 127.195.0.11 second
  check "$title: router 1 answers a caller" chat 127.195.0.11
  check "$title: router 2 answers a caller" chat 127.195.0.12
  check "$title: a zone is drained and restored" drain_and_restore "$7" 127.195.0.11
  check "$title: one store holds the repair lease" one_store_holds_the_lease
  for name in p1 p2 k1 k2 k3; do
    check "$title: $name is still running" kill -0 "$(cat $name.pid)"
  done
}

fleet "old stores, new routers, old ctl" "$old" "$old" "$old" "$new" "$new" "$old"
stop_all
fleet "new stores, old routers, new ctl" "$new" "$new" "$new" "$old" "$old" "$new"
stop_all
fleet "mixed stores and routers, new ctl" "$old" "$new" "$old" "$new" "$old" "$new"
stop_all
fleet "all old" "$old" "$old" "$old" "$old" "$old" "$old"

# Rolling upgrade on the data folders and settings files of the old build, and one change after each step.
newest=second
for number in 1 2 3; do
  stop "k$number" KILL
  start_store "$new" "$number"
  check "upgrade of store $number: it becomes ready" ready "$new" "127.195.0.$number"
  check "upgrade of store $number: it returns the configuration" reads_as "$new" "127.195.0.$number" "$newest"
  check "upgrade of store $number: the old router takes a change" apply_and_read "$old" 127.195.0.11 "upgrade$number"
  newest=upgrade$number
done
stop_all
rm -f k?.log
start_backend
for number in 1 2 3; do start_store "$new" "$number"; done
start_router "$new" 1 a
start_router "$new" 2 b
check "all new on the old data: router 1 becomes ready" ready "$new" 127.195.0.11
check "all new on the old data: the configuration is returned" reads_as "$new" 127.195.0.11 "$newest"
check "all new on the old data: a change is taken" apply_and_read "$new" 127.195.0.11 third
check "all new on the old data: a caller is answered" chat 127.195.0.11
check "all new on the old data: one store holds the repair lease" one_store_holds_the_lease
stop_all

# Nodes of the platform. Each start of a node takes the other build than the one before, first by its name.
cat > switching-node <<END
#!/bin/sh
# Counts the starts of this node beside its settings file and takes the builds in turn.
count_file=\$PIPITSPOOL_NODE_FILE.starts
count=0
[ -e "\$count_file" ] && read -r count < "\$count_file"
echo \$((count + 1)) > "\$count_file"
while IFS='=' read -r key value; do
  [ "\$key" = node_name ] && name=\$value
done < "\$PIPITSPOOL_NODE_FILE"
case \$name in *[13579]) first=1 ;; *) first=0 ;; esac
if [ \$(((count + first) % 2)) = 0 ]; then build=$old; else build=$new; fi
echo "\$name start \$count \$build" >> "$work/starts.txt"
exec "\$build/pipitspool-node" "\$@"
END
chmod +x switching-node
for build in old new; do
  eval "folder=\$$build"
  check "pipitspool-node of both builds, stand-ins of the $build build: kills, cold restarts, changes" \
    "$folder/platform_fleet_test" --shape tiny --seconds 8 --seed 5 --net 196 --node-program "$work/switching-node" \
    --folder "$work/nodes-$build" --troubles "change@0.5:count=1; kill@1:on=core,for=0.5; change@2; term@3; change@6"
done
# An acknowledged drain binds the nodes of the other build too, also where the node that takes it was just restarted.
check "pipitspool-node of both builds: workers drain while nodes are killed" \
  "$new/platform_fleet_test" --shape tiny --seconds 16 --seed 5 --net 196 --node-program "$work/switching-node" \
  --folder "$work/nodes-drain" --troubles "release@1:count=8,gap=1.5; kill@2:count=1,for=0.5; kill@5:count=1,for=0.5; kill@8:count=1,for=0.5; kill@11:count=1,for=0.5"
if [ "$old" != "$new" ]; then
  check "a node ran as both builds on one data folder" \
    sh -c "sed 's/ start [0-9]*//' starts.txt | sort -u | cut -d' ' -f1 | uniq -d | grep ."
fi

echo "$((checks - failures)) of $checks checks passed"
if [ "$failures" -gt 0 ]; then
  echo "logs: $work" >&2
  exit 1
fi
trap - EXIT
stop_all
[ $# -eq 3 ] || rm -rf "$work"
