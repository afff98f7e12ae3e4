#!/usr/bin/env bash
# Slopes for docs/CAPACITY.md: what the leader and an entry spend by number of daemons, and
# what a daemon holds by number of workspaces. Usage: bench-slopes.sh daemons|workspaces|requests|claims
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/site.sh

traffic() { cli "$1" status --json | awk '/"received"|"sent"/ { gsub(/[^0-9]/, "", $2); s += $2 } END { print s }'; }
find_leader() {
  local n
  for n in 1 2 3; do
    if cli $n control status --json | grep -q '"leads": true'; then echo $n; fi
  done
}
changes() {
  "$bin/trayswitch-lab" changes --operators "$host.1:8081,$host.2:8081,$host.3:8081" \
    --key-file "$site_dir/operator.key" "$@"
}
sample() { # sample N: CPU ms and bytes so far
  echo "$(cpu_ms "$(eval echo \$pid_"$1")") $(traffic "$1")"
}
spent() { # spent BEFORE AFTER SECONDS
  awk -v a="$1" -v b="$2" -v s="$3" 'BEGIN { split(a, x, " "); split(b, y, " ");
    printf "%.3f%% of a core, %.0f bytes/s", (y[1] - x[1]) / (10 * s), (y[2] - x[2]) / s }'
}
restart_site() {
  for pid in "${site_pids[@]}"; do kill -9 "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  site_pids=()
  rm -rf "$site_dir"/data-*
}

case ${1:-daemons} in
  daemons)
    for n in 25 50 100 200; do
      site_start $n 3 10 1 0 2> /dev/null
      sleep 3
      leader=$(find_leader)
      a=$(sample "$leader") e=$(sample 20)
      sleep 20
      a2=$(sample "$leader") e2=$(sample 20)
      echo "daemons $n idle: leader $(spent "$a" "$a2" 20), $(rss_mb "$(eval echo \$pid_$leader)") MB; entry $(spent "$e" "$e2" 20), $(rss_mb "$pid_20") MB"
      echo "daemons $n changes: $(changes --file "$site_dir/site-1.ini" --count 30)"
      restart_site
    done
    ;;
  workspaces)
    for n in 2250 4500 9000 18000; do
      site_start 4 3 2 1 $n 2> /dev/null
      sleep 2
      e=$(sample 4)
      result=$(changes --file "$site_dir/site-1.ini" --count 20 --pause-ms 250)
      e2=$(sample 4)
      cpu=$(awk -v a="$e" -v b="$e2" 'BEGIN { split(a, x, " "); split(b, y, " "); printf "%.1f", (y[1] - x[1]) / 20 }')
      echo "workspaces $n: entry $(rss_mb "$pid_4") MB, $cpu ms CPU a change; replica $(rss_mb "$pid_1") MB; $result"
      restart_site
    done
    ;;
  claims)
    site_start 7 3 1 2 0 --delay-ms 0 2> /dev/null
    total=0
    for n in 5000 5000 10000 20000; do
      "$bin/trayswitch-lab" load --callers "$host.4:8080,$host.5:8080,$host.6:8080,$host.7:8080" \
        --key "$caller_key" --call booking-desk/confirm --calls $n --concurrency 64 --seed $((n + total)) > /dev/null || true
      total=$((total + n))
      echo "claims $total: replica $(rss_mb "$pid_1") MB, folder $(du -sm "$site_dir/data-1" | cut -f1) MB"
    done
    kill -9 "$pid_1"
    wait "$pid_1" 2> /dev/null || true
    site_daemon 1
    began=$(date +%s%N)
    until cli 1 status 2> /dev/null | grep -q "current yes"; do sleep 0.02; done
    echo "restart with $total claims: ready after $((($(date +%s%N) - began) / 1000000)) ms"
    ;;
  requests)
    site_start 7 3 4 2 0 --delay-ms 0 --step-us 2000 --stream-us 0 --prefill-us 0 2> /dev/null
    sleep 2
    leader=$(find_leader)
    for n in 16 32 64 128; do
      a=$(sample "$leader") e=$(sample 7)
      "$bin/trayswitch-lab" load --callers "$host.4:8080,$host.5:8080,$host.6:8080,$host.7:8080" \
        --key "$caller_key" --model tutor-llm --streams $((n * 60)) --concurrency $n --length 40 > "$site_dir/report" || true
      a2=$(sample "$leader") e2=$(sample 7)
      seconds=$(awk '/"seconds"/ { gsub(/[^0-9.]/, "", $2); print $2; exit }' "$site_dir/report")
      rate=$(awk -v k=$((n * 60)) -v s="$seconds" 'BEGIN { printf "%.0f", k / s }')
      echo "requests $rate/s: leader $(spent "$a" "$a2" "$seconds"); entry (a quarter of them, 40 tokens each) $(spent "$e" "$e2" "$seconds")"
    done
    ;;
esac
