#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8. Run it at the root of the repository.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
CARGO_TARGET_DIR="$(cd ../.. && pwd)/target/review-2" cargo build --release --offline
