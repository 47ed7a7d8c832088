#!/usr/bin/env bash
# Starts the stand-ins, three entry daemons and two control daemons as separate processes on
# loopback, publishes the fleet's table and waits. Ctrl-C stops only these processes.
#   scripts/start-processes.sh [corrib|dragons-sleeve]
set -euo pipefail
cd "$(dirname "$0")/.."
fleet=${1:-corrib}
case $fleet in
  corrib) zones=(galway limerick sligo) ;;
  dragons-sleeve) zones=(cardiff-a cardiff-b newport) ;;
  *) echo "no fleet is named '$fleet'" >&2; exit 2 ;;
esac
cargo build --release --locked --quiet -p teaselglade
bin_dir=target/release
work_dir=$(mktemp -d)
pids=()
stop_processes() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait || true
  rm -r "$work_dir"
}
trap stop_processes EXIT
trap 'exit 0' INT TERM

wait_for_output() { # FILE: waits up to 10 s for a program to print to FILE
  for _ in $(seq 200); do [ -s "$1" ] && return 0; sleep 0.05; done
  echo "a program printed nothing" >&2
  return 1
}
json_field() { python3 -c 'import json, sys; print(json.load(open(sys.argv[1]))[sys.argv[2]])' "$1" "$2"; }

"$bin_dir/teaselglade-standins" --fleet "$fleet" > "$work_dir/platform.json" &
pids+=($!)
wait_for_output "$work_dir/platform.json"
log=$(json_field "$work_dir/platform.json" log)
host_list=$(json_field "$work_dir/platform.json" host_list)
cloud=$(json_field "$work_dir/platform.json" cloud)
weights=$(json_field "$work_dir/platform.json" weights)

"$bin_dir/teaselglade-standins" --fleet "$fleet" --print-table > "$work_dir/table.csv"
"$bin_dir/teaselglade" table publish "$work_dir/table.csv" --base 0 --author "$(id -un)" \
  --log "$log" --cluster "$fleet"

for index in 0 1 2; do
  zone=${zones[$index]}
  host=$zone-entry-$index
  cat > "$work_dir/$host.jsonc" <<JSON
{
  "host": "$host", "zone": "$zone", "cluster": "$fleet",
  "callers": "127.0.0.1:0", // 0 selects any free port
  "peers": "127.0.0.1:0",
  "log": "$log", "host_list": "$host_list", "cloud": "$cloud"
}
JSON
  "$bin_dir/teaselglade-entry" --config "$work_dir/$host.jsonc" > "$work_dir/$host.json" &
  pids+=($!)
  wait_for_output "$work_dir/$host.json"
  peers=$(json_field "$work_dir/$host.json" peers)
  curl -sS -X PUT "http://$host_list/hosts" -d "{\"name\":\"$host\",\"incarnation\":1,
    \"role\":\"entry\",\"address\":\"$peers\",\"zone\":\"$zone\",\"class\":\"entry\",\"service\":\"\",
    \"cents_per_hour\":2.0,\"reclaimable\":true,\"leaving\":false}"
  echo "entry host $host: callers reach http://$(json_field "$work_dir/$host.json" callers)"
done

offers=""
for class in old mid new plain; do
  case $class in old) cents=40 ;; mid) cents=90 ;; new) cents=160 ;; *) cents=8 ;; esac
  offers+="{\"zone\": \"${zones[0]}\", \"class\": \"$class\", \"purchase\": \"reclaimable\","
  offers+=" \"cents_per_hour\": $cents},"
done
for index in 0 1; do
  host=${zones[0]}-control-$index
  cat > "$work_dir/$host.jsonc" <<JSON
{
  "host": "$host", "zone": "${zones[0]}", "cluster": "$fleet",
  "control": "127.0.0.1:0",
  "log": "$log", "host_list": "$host_list", "cloud": "$cloud", "weights": "$weights",
  "offers": [${offers%,}]
}
JSON
  "$bin_dir/teaselglade-control" --config "$work_dir/$host.jsonc" > "$work_dir/$host.json" &
  pids+=($!)
  wait_for_output "$work_dir/$host.json"
  echo "control daemon $host: operators reach http://$(json_field "$work_dir/$host.json" control)"
done

cat <<TEXT

platform: log $log, host list $host_list, cloud API $cloud
  $bin_dir/teaselglade fleet status --host-list $host_list
  $bin_dir/teaselglade table history --log $log --cluster $fleet
  curl -X POST http://$cloud/reclaim -d '{"zone":"${zones[0]}","notice_ms":5000}'
Ctrl-C stops everything.
TEXT
wait
