#!/usr/bin/env bash
# The daemon's added time to the first token and between tokens, against the direct path in
# the same run, alternating; and its CPU time for a token and memory for a stream.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/site.sh
site_start 1 1 2 0 0 --step-us 10000 --stream-us 0 --prefill-us 0

load() { # load ADDRESSES STREAMS CONCURRENCY
  "$bin/trayswitch-lab" load --callers "$1" --key "$caller_key" --model tutor-llm \
    --streams "$2" --concurrency "$3" --length 100 || true
}
direct="$host.250:9101,$host.250:9102"
printf '%-8s %8s %10s %10s %10s %10s\n' path streams first_p50 first_p99 gap_p50 gap_p99
for round in 1 2 3; do
  for path in direct daemon; do
    address=$direct
    [ $path = daemon ] && address=$host.1:8080
    report=$(load "$address" 400 100)
    printf '%-8s %8s %10s %10s %10s %10s\n' $path 100 \
      "$(field first_token_ms p50 <<< "$report")" "$(field first_token_ms p99 <<< "$report")" \
      "$(field gap_ms p50 <<< "$report")" "$(field gap_ms p99 <<< "$report")"
  done
done
printf '\n%-8s %12s %14s %10s\n' streams tokens/s tokens/cpu-s rss_mb
for streams in 50 100 200 400; do
  before=$(cpu_ms "$pid_1")
  load "$host.1:8080" $((streams * 3)) "$streams" > "$site_dir/report" &
  loader=$!
  sleep 1
  rss=$(rss_mb "$pid_1")
  wait $loader
  after=$(cpu_ms "$pid_1")
  tokens=$(awk '/"tokens"/ { gsub(/[^0-9]/, ""); print; exit }' "$site_dir/report")
  seconds=$(awk '/"seconds"/ { gsub(/[^0-9.]/, "", $2); print $2; exit }' "$site_dir/report")
  awk -v n=$streams -v t="$tokens" -v s="$seconds" -v c=$((after - before)) -v r="$rss" \
    'BEGIN { printf "%-8s %12.0f %14.0f %10s\n", n, t / s, t / (c / 1000), r }'
done
