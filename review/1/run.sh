#!/usr/bin/env bash
# Plays the case once: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Build the deploy file's programs and review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
stand_in=target/review/release/stand-in
[[ -x $stand_in && -x target/release/trayswitch-platform ]] || exit 2
exec "$stand_in" stopped review/1
