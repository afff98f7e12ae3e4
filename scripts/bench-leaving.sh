#!/usr/bin/env bash
# How long new work still comes to an engine that has begun to leave, with four entry daemons
# under load; five times, each engine in turn.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/site.sh
site_start 7 3 3 1 0 --step-us 4000 --stream-us 20 --prefill-us 5
"$bin/trayswitch-lab" load --callers "$host.4:8080,$host.5:8080,$host.6:8080,$host.7:8080" \
  --key "$caller_key" --model tutor-llm --streams 6000 --concurrency 150 --length 60 > "$site_dir/report" &
loader=$!
sleep 1
for round in 1 2 3 4 5; do
  endpoint=$host.250:$((9101 + round % 3))
  "$bin/trayswitch-lab" fault --endpoint "$endpoint" '{"fault":"leave"}'
  sleep 1.5
  echo "round $round: new work after leaving: $("$bin/trayswitch-lab" fault --endpoint "$endpoint" turned-away)"
  "$bin/trayswitch-lab" fault --endpoint "$endpoint" '{"fault":"return"}'
  sleep 1
done
wait $loader
tr -d ' \n' < "$site_dir/report" | grep -o '"chats":{[^}]*}\|"violations":\[[^]]*\]'
