#!/usr/bin/env bash
# The soak: real programs as separate processes on loopback, under random faults from outside.
# Usage: soak.sh [FIRST_SEED [SEEDS [SECONDS]]]; the defaults are CI's short seeded run.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --package trayswitch-platform --package trayswitch-soak
exec "${CARGO_TARGET_DIR:-target}/release/trayswitch-soak" \
  --program "${CARGO_TARGET_DIR:-target}/release/trayswitch-platform" \
  --folder "${CARGO_TARGET_DIR:-target}/soak" \
  --seed "${1:-1}" --seeds "${2:-1}" --seconds "${3:-10}"
