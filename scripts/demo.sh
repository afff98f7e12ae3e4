#!/usr/bin/env bash
# Runs the whole path on this machine: emulated endpoints, a daemon, a submitted
# configuration, and one generation printed token by token.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --quiet --bins
bin=${CARGO_TARGET_DIR:-target}/release
mkdir -p demo-data
for key in peer operator; do
  [ -s "demo-data/$key.key" ] || od -An -N16 -tx1 /dev/urandom | tr -d ' \n' > "demo-data/$key.key"
done

pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT

RUST_LOG=warn "$bin/trayswitch-lab" emulate --engines 2 --services 1 --port 9101 &
pids+=($!)
RUST_LOG=${RUST_LOG:-info} "$bin/trayswitchd" examples/demo/vm-1.ini &
pids+=($!)

cli=("$bin/trayswitch" --key-file demo-data/operator.key)
for _ in $(seq 100); do
  "${cli[@]}" config submit --wait examples/demo/site.ini 2>/dev/null && break
  sleep 0.1
done
"${cli[@]}" endpoints
"$bin/trayswitch-lab" ask --key demo-caller-key --model tutor-llm "How do I hold the bow?"
"${cli[@]}" status
if [ "${1:-}" = "--stay" ]; then
  echo "callers: 127.0.0.1:8080, operators: 127.0.0.1:8081; stop with Ctrl-C"
  wait
fi
