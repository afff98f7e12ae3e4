#!/usr/bin/env bash
# Seven daemons, three of them control replicas: time from a submission to in force
# everywhere, also through the leader's death; claims a second, with one sync for each and
# shared; and what control costs each daemon with 18,000 workspaces.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/site.sh
workspaces=${1:-18000}
site_start 7 3 1 2 0 --delay-ms 0
operators="$host.1:8081,$host.2:8081,$host.3:8081"
changes() {
  "$bin/trayswitch-lab" changes --operators "$operators" --key-file "$site_dir/operator.key" "$@"
}

echo "# small file, 200 changes"
changes --file "$site_dir/site-1.ini" --count 200

callers="$host.4:8080,$host.5:8080,$host.6:8080,$host.7:8080"
echo "# calls: repeatable (no claim) and claimed"
printf '%-22s %12s %9s %10s %10s\n' call concurrency calls/s p50_ms p99_ms
for concurrency in 1 16 64 256; do
  for call in booking-desk/slots booking-desk/confirm; do
    count=$((concurrency * 60))
    "$bin/trayswitch-lab" load --callers "$callers" --key "$caller_key" --call $call \
      --calls $count --concurrency $concurrency --seed $((concurrency * 7 + ${#call})) > "$site_dir/report" || true
    seconds=$(awk '/"seconds"/ { gsub(/[^0-9.]/, "", $2); print $2; exit }' "$site_dir/report")
    awk -v c=$call -v n=$concurrency -v k=$count -v s="$seconds" -v p="$(field call_ms p50 < "$site_dir/report")" \
      -v q="$(field call_ms p99 < "$site_dir/report")" 'BEGIN { printf "%-22s %12s %9.0f %10s %10s\n", c, n, k / s, p, q }'
  done
done

echo "# $workspaces workspaces"
site_config 1 1 2 "$workspaces"
changes --file "$site_dir/site-1.ini" --count 1
changes --file "$site_dir/site-1.ini" --count 30 --pause-ms 200

echo "# control cost for each daemon over 20 s with a change every 2 s (43,200 a day)"
before=()
for n in 4 5; do before[n]="$(cpu_ms "$(eval echo \$pid_$n)") $(cli $n status --json | awk '/"received"|"sent"/ { gsub(/[^0-9]/, "", $2); s += $2 } END { print s }')"; done
changes --file "$site_dir/site-1.ini" --count 10 --pause-ms 2000
for n in 4 5; do
  pid=$(eval echo \$pid_$n)
  now="$(cpu_ms "$pid") $(cli $n status --json | awk '/"received"|"sent"/ { gsub(/[^0-9]/, "", $2); s += $2 } END { print s }')"
  awk -v a="${before[n]}" -v b="$now" -v r="$(rss_mb "$pid")" -v n=$n 'BEGIN { split(a, x, " "); split(b, y, " ");
    printf "vm-%s: cpu %.2f%% of a core, %.0f bytes/s, %s MB\n", n, (y[1] - x[1]) / 200, (y[2] - x[2]) / 20, r }'
done

echo "# through the leader's death"
leader=1
for n in 1 2 3; do
  if cli $n control status --json | grep -q "\"leads\": true"; then leader=$n; fi
done
kill -9 "$(eval echo \$pid_$leader)"
rest=$(for n in 1 2 3; do if [ $n != $leader ]; then printf "%s.%s:8081," "$host" "$n"; fi; done)
operators=${rest%,}
changes --file "$site_dir/site-1.ini" --count 1

echo "# restart of the killed replica"
site_daemon $leader
began=$(date +%s%N)
until cli $leader status 2> /dev/null | grep -q "current yes"; do sleep 0.02; done
echo "ready after $((($(date +%s%N) - began) / 1000000)) ms"
