#!/usr/bin/env bash
# Starts N `serve` processes and a stand-in for the platform, leaves them idle, and prints the cost
# of control per process: CPU share, memory, messages and bytes per second.
# Usage: examples/fleet.sh [VMS] [SECONDS]
set -euo pipefail
vms=${1:-60}
seconds=${2:-30}
bin=${KITEPULLEY_BIN:-target/release/kitepulley}
export KITEPULLEY_FLEET_KEY=fleet-key-of-the-example KITEPULLEY_LOG=off
export KITEPULLEY_SESSION_KEYS=k1:session-key-of-the-example
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work"' EXIT
"$bin" standin platform --listen 127.0.0.1:17000 2>/dev/null &
pids+=($!)
sleep 0.5
"$bin" plan examples/tiny.toml --platform 127.0.0.1:17000 --out "$work/plan.json" >/dev/null
"$bin" confirm "$work/plan.json" --who example --platform 127.0.0.1:17000 >/dev/null
for i in $(seq 1 "$vms"); do
  "$bin" serve --vm "vm$i" --data-centre "dc$((i % 5))" --workers 1 \
    --listen "127.0.0.1:$((18000 + i))" --peer "127.0.0.1:$((19000 + i))" \
    --seed 127.0.0.1:19001 --platform 127.0.0.1:17000 2>/dev/null &
  pids+=($!)
done
sleep 30
ready=0
for i in $(seq 1 "$vms"); do
  curl -fs "127.0.0.1:$((18000 + i))/readyz" >/dev/null && ready=$((ready + 1))
done
ticks() { for p in "${pids[@]:1}"; do awk '{print $14 + $15}' "/proc/$p/stat"; done | paste -sd+ | bc; }
metric() { for i in $(seq 1 "$vms"); do curl -s "127.0.0.1:$((18000 + i))/metrics"; done |
  awk -v name="$1" 'index($1, name) == 1 {sum += $2} END {print sum + 0}'; }
calls() { curl -s 127.0.0.1:17000/calls; }
t0=$(ticks); m0=$(metric kitepulley_messages_total); b0=$(metric kitepulley_peer_bytes); echo "calls before: $(calls)"
sleep "$seconds"
t1=$(ticks); m1=$(metric kitepulley_messages_total); b1=$(metric kitepulley_peer_bytes); echo "calls after:  $(calls)"
rss=$(for p in "${pids[@]:1}"; do awk '/VmRSS/ {print $2}' "/proc/$p/status"; done | paste -sd+ | bc)
echo "$vms VMs, $ready ready, idle for $seconds s, per VM:"
awk -v n="$vms" -v s="$seconds" -v t=$((t1 - t0)) -v m="$((m1 - m0))" -v b="$((b1 - b0))" -v r="$rss" 'BEGIN {
  printf "  CPU %.3f%% of a core\n  memory %.1f MB\n  messages %.2f/s\n  bytes of messages %.0f/s\n",
  t / n / s, r / n / 1000, m / n / s, b / n / s }'
