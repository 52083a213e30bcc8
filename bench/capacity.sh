#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md on this machine, with the
# project's own stand-ins as separate processes on loopback. Bounded: every
# phase has a fixed length and every load a fixed count.
#
#   cargo build --release && bash bench/capacity.sh > bench/results/capacity.txt
#
# Prints one `key value` line per figure.
set -euo pipefail
cd "$(dirname "$0")/.."

source bench/lib.sh
BASE_PORT=${BASE_PORT:-7300}
PLATFORM=127.0.0.1:$BASE_PORT
DAEMON_COUNTS=${DAEMON_COUNTS:-"1 4 16 32 64"}
IDLE_SECONDS=${IDLE_SECONDS:-30}
FAKE_SERVERS=${FAKE_SERVERS:-800}

# Bytes that crossed loopback, headers and both directions counted once.
wire_bytes() { cat /sys/class/net/lo/statistics/tx_bytes; }
usage() { curl -s "http://$PLATFORM/v1/usage"; }
field() { python3 -c "import json,sys; print(json.load(sys.stdin)[sys.argv[1]])" "$1"; }
fence_of() { curl -s "http://$1/v1/status" | field fence; }

start "$BIN" standin platform --listen "$PLATFORM" --instance-lag-ms 0
for role in prefill decode; do
  for i in 1 2 3 4; do
    start "$BIN" standin engine --server "brief-$role-$i" --role "$role" --register-with "$PLATFORM"
  done
done
"$CTL" --platform "$PLATFORM" --actor bench put ordinary presets/ordinary.toml --expect-version 0 >/dev/null
"$CTL" --platform "$PLATFORM" --actor bench put peak presets/peak.toml --expect-version 0 >/dev/null
"$CTL" --platform "$PLATFORM" --actor bench org neulanjalki --key bench-key >/dev/null
"$CTL" --platform "$PLATFORM" --actor bench activate ordinary --expect-active 0 >/dev/null
active=1

echo "machine $(nproc) cores, $(free -g | awk '/Mem/ {print $2}') GiB"
echo "commit $(git rev-parse --short HEAD)"

# Phase 1: control traffic and idle cost per daemon, against daemon count.
port=$((BASE_PORT + 100))
for count in $DAEMON_COUNTS; do
  DAEMONS=(); DAEMON_PIDS=()
  for i in $(seq "$count"); do
    start "$BIN" serve --listen "127.0.0.1:$port" --platform "$PLATFORM" --daemon-id "d$i"
    DAEMONS+=("$LAST_ADDR"); DAEMON_PIDS+=("$LAST_PID"); port=$((port + 1))
  done
  sleep 2
  u0=$(usage); t0=$(cpu_ticks "${DAEMON_PIDS[0]}"); w0=$(wire_bytes)
  sleep "$IDLE_SECONDS"
  w1=$(wire_bytes); u1=$(usage); t1=$(cpu_ticks "${DAEMON_PIDS[0]}")
  writes=$(( $(echo "$u1" | field writes) - $(echo "$u0" | field writes) ))
  reads=$(( $(echo "$u1" | field reads) - $(echo "$u0" | field reads) ))
  bytes=$(( $(echo "$u1" | field bytes_out) - $(echo "$u0" | field bytes_out) ))
  echo "daemons=$count platform_reads_per_s $(python3 -c "print(round($reads / $IDLE_SECONDS, 1))")"
  echo "daemons=$count platform_writes_per_s $(python3 -c "print(round($writes / $IDLE_SECONDS, 2))")"
  echo "daemons=$count control_bytes_per_s_per_daemon $(python3 -c "print(round($bytes / $IDLE_SECONDS / $count, 1))")"
  echo "daemons=$count wire_bytes_per_s_per_daemon $(python3 -c "print(round(($w1 - $w0) / $IDLE_SECONDS / $count, 1))")"
  echo "daemons=$count idle_cpu_percent_one_daemon $(python3 -c "print(round(100 * ($t1 - $t0) / $TICKS / $IDLE_SECONDS, 2))")"
  echo "daemons=$count rss_kb_one_daemon $(rss_kb "${DAEMON_PIDS[0]}")"
  # A preset change: seconds until every daemon has it in force.
  next=$([ $((active % 2)) = 1 ] && echo peak || echo ordinary)
  # Each daemon reports when it took the fence into force; the latest of
  # those, less the moment before the write, is the figure.
  begin_ms=$(date +%s%3N)
  "$CTL" --platform "$PLATFORM" --actor bench activate "$next" --expect-active "$active" >/dev/null
  active=$((active + 1))
  latest_ms=0
  for daemon in "${DAEMONS[@]}"; do
    until [ "$(fence_of "$daemon")" -ge "$active" ]; do sleep 0.05; done
    applied=$(curl -s "http://$daemon/v1/status" | field fence_applied_unix_ms)
    [ "$applied" -gt "$latest_ms" ] && latest_ms=$applied
  done
  echo "daemons=$count preset_in_force_everywhere_s $(python3 -c "print(round(($latest_ms - $begin_ms) / 1000, 3))")"
  for pid in "${DAEMON_PIDS[@]}"; do kill "$pid"; done
  sleep 0.5
done

# Phase 2: CPU and memory per routed request, one daemon.
start "$BIN" serve --listen "127.0.0.1:$port" --platform "$PLATFORM" --daemon-id load
daemon=$LAST_ADDR; daemon_pid=$LAST_PID; port=$((port + 1))
sleep 1.5
rss0=$(rss_kb "$daemon_pid"); t0=$(cpu_ticks "$daemon_pid")
"$BIN" load --target "$daemon" --key bench-key --workload bench/workloads/slope-short.toml --scale 2 > /tmp/capacity-load.txt
t1=$(cpu_ticks "$daemon_pid"); rss1=$(rss_kb "$daemon_pid")
echo "load $(head -1 /tmp/capacity-load.txt)"
sent=$(tail -1 /tmp/capacity-load.txt | python3 -c "import json,sys; print(json.load(sys.stdin)['classes'][0]['owed'])")
echo "cpu_us_per_request $(python3 -c "print(round(1e6 * ($t1 - $t0) / $TICKS / $sent, 1))")"
echo "rss_kb_before_load $rss0"
echo "rss_kb_after_load $rss1"

# Phase 3: memory and control bytes per tracked backend server.
u0=$(usage); sleep "$IDLE_SECONDS"; u1=$(usage)
base_bytes=$(( $(echo "$u1" | field bytes_out) - $(echo "$u0" | field bytes_out) ))
for i in $(seq "$FAKE_SERVERS"); do
  printf '{"server":"fake-%s","addr":"127.0.0.1:9","role":"decode","model":"fake-model","domain":"hall-a","state":"live"}' "$i" |
    curl -s -X PUT --data-binary @- "http://$PLATFORM/v1/instances/fake-$i" >/dev/null
done
sleep 2
rss2=$(rss_kb "$daemon_pid")
u0=$(usage); sleep "$IDLE_SECONDS"; u1=$(usage)
more_bytes=$(( $(echo "$u1" | field bytes_out) - $(echo "$u0" | field bytes_out) ))
echo "servers_added $FAKE_SERVERS"
echo "rss_kb_per_server $(python3 -c "print(round(($rss2 - $rss1) / $FAKE_SERVERS, 3))")"
echo "control_bytes_per_s_per_server $(python3 -c "print(round(($more_bytes - $base_bytes) / $IDLE_SECONDS / $FAKE_SERVERS, 2))")"
