#!/usr/bin/env bash
# Runs two daemons and the stand-ins as processes on loopback, publishes a configuration twice on the
# same base, sends load, kills one daemon with SIGKILL under load, and stops the other gracefully.
# Prints memory and processor time. Takes about 40 s; not part of CI, as it measures wall-clock time.
set -u
cd "$(dirname "$0")/.."
binary=build/src/skylarkbridge/skylarkbridge
work=$(mktemp -d)
export SKYLARKBRIDGE_TOKEN=a-token-of-enough-length
started=()
trap 'for process in "${started[@]}"; do kill "$process" 2>/dev/null; done; rm -rf "$work"' EXIT

"$binary" standin --platform_address 127.0.0.1:19000 --workers 4 --service_time 2ms \
  --entry_vms 1=127.0.0.1:18182,2=127.0.0.1:18282 > "$work/standin" 2>&1 &
started+=($!)
serve() {
  "$binary" serve --entry_vm "$1" --data_centre 1 --region 1 --log_address 127.0.0.1:19000 \
    --vm_list_address 127.0.0.1:19000 --callers_address "127.0.0.1:18${1}80" \
    --operators_address "127.0.0.1:18${1}81" --peers_address "127.0.0.1:18${1}82" \
    2> "$work/serve$1" &
  started+=($!)
}
usage() {
  for process in "${started[@]:1}"; do
    [ -d "/proc/$process" ] || continue
    echo "process $process: $(grep VmRSS "/proc/$process/status" | tr -s '\t ' ' ')," \
      "processor ticks $(cut -d' ' -f14,15 "/proc/$process/stat")"
  done
}

serve 1
serve 2
build/examples/example_tintes_muestra_andina > "$work/fleet.json"
sleep 5
"$binary" publish --operator_address 127.0.0.1:18181 --base 0 "$work/fleet.json"
echo "the same base again, which must be refused:"
"$binary" publish --operator_address 127.0.0.1:18281 --base 0 "$work/fleet.json"
sleep 1
"$binary" status --operator_address 127.0.0.1:18281
usage
sleep 10
echo "10 s later without load:"
usage
"$binary" load --entry 127.0.0.1:18180,127.0.0.1:18280 --service despacho --requests 4000 \
  --kind colour-match --submit 40
echo "load on the second daemon while the first is killed:"
"$binary" load --entry 127.0.0.1:18280 --service despacho --requests 200 --callers 4 \
  --kind colour-match --submit 60 > "$work/load" &
load=$!
sleep 1
kill -KILL "${started[1]}"
echo "killed at $(date +%T.%N)"
wait "$load"
cat "$work/load"
grep -E 'E4004|E4006|E4007' "$work/serve2"
kill -TERM "${started[2]}"
wait "${started[2]}"
echo "exit code of the graceful stop: $?"
