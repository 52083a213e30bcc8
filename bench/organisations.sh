#!/usr/bin/env bash
# Memory of one daemon per organisation: RSS before and after 1,000 are
# added. One platform stand-in, one daemon, on loopback; bounded.
#
#   cargo build --release && bash bench/organisations.sh
set -euo pipefail
cd "$(dirname "$0")/.."
source bench/lib.sh
COUNT=${COUNT:-1000}
PLATFORM=127.0.0.1:${BASE_PORT:-7700}

start "$BIN" standin platform --listen "$PLATFORM" --instance-lag-ms 0
start "$BIN" serve --listen 127.0.0.1:0 --platform "$PLATFORM"
sleep 1
before=$(rss_kb "$LAST_PID")
for i in $(seq "$COUNT"); do
  "$CTL" --platform "$PLATFORM" org "organisation-$i" --key "key-of-organisation-$i" > /dev/null
done
sleep 1
after=$(rss_kb "$LAST_PID")
echo "commit $(git rev-parse --short HEAD) organisations $COUNT rss_kb $before -> $after, kb_per_organisation $(python3 -c "print(round(($after - $before) / $COUNT, 3))")"
