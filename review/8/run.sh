#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/review-2/release/review-stand-ins-2
[[ -x $program && -x target/release/trayswitch-platform ]] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
timeout --kill-after=5 116 "$program" fractions "$here" &
# The processes that the program has started end with it.
trap 'kill "$!" 2>/dev/null; wait; exit 2' TERM INT HUP
trap 'rm -rf "$TMPDIR"' EXIT
wait "$!"
status=$?
((status < 2)) || status=2
exit $status
