#!/usr/bin/env bash
# Starts the stand-ins, three entry daemons and two control daemons as separate processes on
# loopback, publishes the fleet's table and waits. Ctrl-C stops exactly these processes.
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
programs=target/release
folder=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait || true
  rm -r "$folder"
}
trap stop EXIT
trap 'exit 0' INT TERM

wait_line() { # FILE: waits for the first line of a program's output
  for _ in $(seq 200); do [ -s "$1" ] && return 0; sleep 0.05; done
  echo "a program printed nothing" >&2
  return 1
}
field() { python3 -c 'import json, sys; print(json.load(open(sys.argv[1]))[sys.argv[2]])' "$1" "$2"; }

"$programs/teaselglade-standins" --fleet "$fleet" > "$folder/platform.json" &
pids+=($!)
wait_line "$folder/platform.json"
log=$(field "$folder/platform.json" log)
host_list=$(field "$folder/platform.json" host_list)
cloud=$(field "$folder/platform.json" cloud)
weights=$(field "$folder/platform.json" weights)

"$programs/teaselglade-standins" --fleet "$fleet" --print-table > "$folder/table.csv"
"$programs/teaselglade" table publish "$folder/table.csv" --base 0 --author "$(id -un)" \
  --log "$log" --cluster "$fleet"

for index in 0 1 2; do
  zone=${zones[$index]}
  host=$zone-entry-$index
  cat > "$folder/$host.jsonc" <<JSON
{
  "host": "$host", "zone": "$zone", "cluster": "$fleet",
  "callers": "127.0.0.1:0", // any free port
  "peers": "127.0.0.1:0",
  "log": "$log", "host_list": "$host_list", "cloud": "$cloud"
}
JSON
  "$programs/teaselglade-entry" --config "$folder/$host.jsonc" > "$folder/$host.json" &
  pids+=($!)
  wait_line "$folder/$host.json"
  peers=$(field "$folder/$host.json" peers)
  curl -sS -X PUT "http://$host_list/hosts" -d "{\"name\":\"$host\",\"incarnation\":1,
    \"role\":\"entry\",\"address\":\"$peers\",\"zone\":\"$zone\",\"class\":\"entry\",\"service\":\"\",
    \"cents_per_hour\":2.0,\"reclaimable\":true,\"leaving\":false}"
  echo "entry host $host: callers reach http://$(field "$folder/$host.json" callers)"
done

offers=""
for class in old mid new plain; do
  case $class in old) cents=40 ;; mid) cents=90 ;; new) cents=160 ;; *) cents=8 ;; esac
  offers+="{\"zone\": \"${zones[0]}\", \"class\": \"$class\", \"purchase\": \"reclaimable\","
  offers+=" \"cents_per_hour\": $cents},"
done
for index in 0 1; do
  host=${zones[0]}-control-$index
  cat > "$folder/$host.jsonc" <<JSON
{
  "host": "$host", "zone": "${zones[0]}", "cluster": "$fleet",
  "control": "127.0.0.1:0",
  "log": "$log", "host_list": "$host_list", "cloud": "$cloud", "weights": "$weights",
  "offers": [${offers%,}]
}
JSON
  "$programs/teaselglade-control" --config "$folder/$host.jsonc" > "$folder/$host.json" &
  pids+=($!)
  wait_line "$folder/$host.json"
  echo "control daemon $host: operators reach http://$(field "$folder/$host.json" control)"
done

cat <<TEXT

platform: log $log, host list $host_list, cloud API $cloud
  $programs/teaselglade fleet status --host-list $host_list
  $programs/teaselglade table history --log $log --cluster $fleet
  curl -X POST http://$cloud/reclaim -d '{"zone":"${zones[0]}","notice_ms":5000}'
Ctrl-C stops everything.
TEXT
wait
