#!/usr/bin/env bash
# Faults throughout: 2,000 requests a seed through four entry daemons while endpoints are cut,
# frozen, made to drop answers, to refuse, to forget and to leave, and control VMs are killed,
# stopped and continued. Prints what callers saw and which promises were broken.
# Usage: bench-faults.sh [seed ...]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/site.sh
site_start 7 3 3 2 0 --step-us 4000 --stream-us 20 --prefill-us 5
endpoint() { echo "$host.250:$((9100 + $1))"; }
fault() { "$bin/trayswitch-lab" fault --endpoint "$(endpoint "$1")" "$2" 2> /dev/null || true; }

mischief() { # one fault, chosen by a random number
  local engine=$((1 + RANDOM % 3)) service=$((4 + RANDOM % 2)) replica=$((1 + RANDOM % 3))
  local pid
  pid=$(eval echo "\$pid_$replica")
  case $((RANDOM % 10)) in
    0 | 1) fault $engine '{"fault":"cut","count":12}' ;;
    2) fault $engine '{"fault":"freeze","ms":1500}' ;;
    3) fault $service '{"fault":"drop_answer","count":5}' ;;
    4) fault $service '{"fault":"refuse","count":20}' ;;
    5) fault $engine '{"fault":"forget"}' ;;
    6)
      fault $engine '{"fault":"leave"}'
      sleep 1
      fault $engine '{"fault":"return"}'
      ;;
    7)
      kill -STOP "$pid"
      sleep 2
      kill -CONT "$pid"
      ;;
    *)
      kill -9 "$pid" 2> /dev/null || true
      wait "$pid" 2> /dev/null || true
      sleep 0.5
      site_daemon $replica
      ;;
  esac
}

for seed in "${@:-1 2 3 4 5}"; do
  for s in $seed; do
    RANDOM=$s
    "$bin/trayswitch-lab" load --callers "$host.4:8080,$host.5:8080,$host.6:8080,$host.7:8080" \
      --key "$caller_key" --model tutor-llm --streams 1000 --calls 1000 --concurrency 60 --seed "$s" \
      --call booking-desk/confirm --emulators "$(endpoint 4),$(endpoint 5)" > "$site_dir/report" 2> /dev/null &
    loader=$!
    faults=0
    while kill -0 $loader 2> /dev/null; do
      mischief
      faults=$((faults + 1))
      sleep 0.3
    done
    wait $loader || true
    echo "seed $s, $faults faults: $(tr -d ' \n' < "$site_dir/report" | sed -E 's/"(first_token|gap)_ms":\{[^}]*\},//g')"
  done
done
