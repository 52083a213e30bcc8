#!/usr/bin/env bash
# Separates a daemon's CPU per request from its CPU per relayed token, and
# measures its memory per request in flight. One daemon, one platform
# stand-in, 4 prefill and 4 decode stand-ins, all separate processes on
# loopback. Bounded: three loads of fixed length.
#
#   cargo build --release && bash bench/request-slopes.sh
set -euo pipefail
cd "$(dirname "$0")/.."
source bench/lib.sh
PLATFORM=127.0.0.1:${BASE_PORT:-7500}
start "$BIN" standin platform --listen "$PLATFORM" --instance-lag-ms 0
for role in prefill decode; do for i in 1 2 3 4; do
  start "$BIN" standin engine --server "brief-$role-$i" --role "$role" --register-with "$PLATFORM" --slots 200 --decode-ms 4
done; done
"$CTL" --platform "$PLATFORM" put ordinary presets/ordinary.toml --expect-version 0 >/dev/null
"$CTL" --platform "$PLATFORM" org neulanjalki --key bench-key >/dev/null
"$CTL" --platform "$PLATFORM" activate ordinary --expect-active 0 >/dev/null
start "$BIN" serve --listen 127.0.0.1:0 --platform "$PLATFORM" --threads "${THREADS:-1}"
daemon=$LAST_ADDR; pid=$LAST_PID
sleep 1.5
echo "threads ${THREADS:-1} commit $(git rev-parse --short HEAD)"
# name workload scale (arrivals a second = 100 x scale, for 10 s)
for run in "short slope-short 1" "long slope-long 0.5" "inflight slope-long 1.5"; do
  set -- $run
  t0=$(cpu_ticks "$pid")
  "$BIN" load --target "$daemon" --key bench-key --workload "bench/workloads/$2.toml" --scale "$3" > "/tmp/slopes-$1.txt"
  t1=$(cpu_ticks "$pid")
  python3 - "$1" "$t0" "$t1" "$TICKS" "$(hwm_kb "$pid")" "/tmp/slopes-$1.txt" <<'PY'
import json, sys
name, t0, t1, ticks, hwm, path = sys.argv[1:]
run = json.loads(open(path).read().splitlines()[-1])
c = run["classes"][0]
cpu = 1e6 * (int(t1) - int(t0)) / int(ticks)
print(f'{name} owed={c["owed"]} whole={c["whole"]} refused={c["refused"]} failed={c["failed"]} '
      f'cpu_us_per_whole={cpu / max(c["whole"], 1):.1f} peak_rss_kb={hwm} ttft_p95_ms={c["ttft_p95_ms"]}')
PY
done
