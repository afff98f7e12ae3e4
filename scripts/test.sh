#!/usr/bin/env bash
# Formatting, lints and all tests. The programs are built first, for the tests that run them.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
cargo build --workspace --bins --quiet
cargo test --workspace --quiet
./scripts/soak.sh
