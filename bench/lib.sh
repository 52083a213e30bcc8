# Shared by the measuring scripts: starting processes, reading their cost.
BIN=target/release/umberglade
CTL=target/release/umberctl
TICKS=$(getconf CLK_TCK)
PIDS=()

cleanup() { for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap cleanup EXIT

# Starts "$@" in the background and waits for its "listening on" line;
# leaves LAST_PID and LAST_ADDR.
start() {
  local out; out=$(mktemp)
  UMBERGLADE_LOG=warn "$@" > "$out" 2>/dev/null &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
  for _ in $(seq 100); do grep -q "listening on" "$out" && break; sleep 0.05; done
  LAST_ADDR=$(sed -n 's/^listening on //p' "$out")
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
hwm_kb() { awk '/VmHWM/ {print $2}' "/proc/$1/status"; }
