# Functions to run a site of real processes on loopback; sourced by the benches.
#   site_start DAEMONS REPLICAS ENGINES SERVICES [emulator options]
# Daemon N listens on 127.31.0.N, endpoints on 127.31.0.250.

site_dir=$(mktemp -d)
site_pids=()
bin=${CARGO_TARGET_DIR:-target}/release
host=127.31.0
caller_key=bench-caller-key

site_stop() {
  for pid in "${site_pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$site_dir"
}
trap site_stop EXIT

cli() { # cli DAEMON ARGS...
  local daemon=$1
  shift
  "$bin/trayswitch" --operators "$host.$daemon:8081" --key-file "$site_dir/operator.key" "$@"
}

site_settings() { # site_settings N REPLICAS
  local n=$1 replicas=$2 list="" r
  for r in $(seq "$replicas"); do list+="${list:+, }vm-$r@$host.$r:8082"; done
  {
    printf '[vm]\nname = vm-%s\nhall = hall-atl\ncallers = %s.%s:8080\noperators = %s.%s:8081\n' \
      "$n" "$host" "$n" "$host" "$n"
    if [ "$n" -le "$replicas" ]; then
      printf 'peers = %s.%s:8082\ndata = %s/data-%s\n' "$host" "$n" "$site_dir" "$n"
    fi
    printf '[control]\nreplicas = %s\n' "$list"
    printf '[keys]\npeer_key_file = %s/peer.key\noperator_key_file = %s/operator.key\n' \
      "$site_dir" "$site_dir"
    printf '[timing]\ndrain_delay = 200ms\n'
  } > "$site_dir/vm-$n.ini"
}

site_config() { # site_config VERSION ENGINES SERVICES WORKSPACES
  local digest i
  digest=$(printf %s "$caller_key" | "$bin/trayswitch" config key)
  {
    printf '[deployment]\nname = bench\nversion = %s\n[hall hall-atl]\nregion = south\n' "$1"
    printf '[tier gold]\nrank = 1\n[kind chat]\nmax_wait = 60s\n[kind confirmation]\nmax_wait = 20s\n'
    printf '[model tutor-llm]\nkind = chat\n[service booking-desk]\n'
    printf '[call booking-desk/confirm]\nkind = confirmation\nrepeatable = no\ntimeout = 5s\n'
    printf '[call booking-desk/slots]\nkind = confirmation\nrepeatable = yes\ntimeout = 5s\n'
    printf '[workspace bench]\ntier = gold\nkey_sha256 = %s\nmax_running = 100000\nmax_waiting = 100000\n' "$digest"
    for i in $(seq "$2"); do
      printf '[endpoint engine-%s]\nhall = hall-atl\naddress = %s.250:%s\nmodel = tutor-llm\nslots = 2000\nkv_tokens = 4000000\n' \
        "$i" "$host" $((9100 + i))
    done
    for i in $(seq "$3"); do
      printf '[endpoint service-%s]\nhall = hall-atl\naddress = %s.250:%s\nservice = booking-desk\nslots = 2000\n' \
        "$i" "$host" $((9100 + $2 + i))
    done
    for i in $(seq "${4:-0}"); do
      printf '[workspace extra-%05d]\ntier = gold\nshare = %s\nkey_sha256 = %064d\n' "$i" $((1 + (i + $1) % 7 * (i % 100 == 0))) "$i"
    done
  } > "$site_dir/site-$1.ini"
}

site_daemon() { # site_daemon N
  RUST_LOG=${RUST_LOG:-warn} "$bin/trayswitchd" "$site_dir/vm-$1.ini" 2>> "$site_dir/vm-$1.log" &
  site_pids+=($!)
  eval "pid_$1=$!"
}

site_start() { # site_start DAEMONS REPLICAS ENGINES SERVICES WORKSPACES [emulator options]
  local daemons=$1 replicas=$2 engines=$3 services=$4 workspaces=$5 n
  shift 5
  cargo build --release --quiet --bins
  printf 'peer-key-of-the-bench' > "$site_dir/peer.key"
  printf 'operator-key-of-the-bench' > "$site_dir/operator.key"
  RUST_LOG=warn "$bin/trayswitch-lab" emulate --ip "$host.250" --port 9101 \
    --engines "$engines" --services "$services" --kv-tokens 4000000 --slots 2000 "$@" &
  site_pids+=($!)
  for n in $(seq "$daemons"); do
    site_settings "$n" "$replicas"
    site_daemon "$n"
  done
  site_config 1 "$engines" "$services" "$workspaces"
  for n in $(seq 200); do
    cli 1 config submit "$site_dir/site-1.ini" > /dev/null 2>&1 && break
    sleep 0.1
  done
  sleep 2
}

cpu_ms() { # CPU time of a process in milliseconds
  awk -v hz="$(getconf CLK_TCK)" '{ printf "%d", ($14 + $15) * 1000 / hz }' "/proc/$1/stat"
}

rss_mb() { # resident memory of a process in MB
  awk '/VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/$1/status"
}

field() { # field NAME FIELD: a number out of a load report on standard input
  awk -v name="\"$1\"" -v key="\"$2\":" '$0 ~ name { inside = 1 } inside && index($0, key) { gsub(/[^0-9.]/, "", $2); print $2; exit }'
}
