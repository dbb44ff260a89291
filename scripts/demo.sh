#!/usr/bin/env bash
# Runs the following as separate processes on loopback for about a minute and
# prints a report: the platform, the fabric, nine instances in four failure
# domains, the 18 upstreams of team barrierline and a caller. Under load it drains
# an upstream, takes a failure domain out and brings it back, and kills an
# instance. It exits non-zero if a check of the recorded history fails, and stops
# all processes that it started. With DEMO_KEEP=1 it starts all processes but the
# caller, applies the declarations and waits until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

export CHIVEMAST_PLATFORM=http://127.10.0.9:7000
# All runs use the same addresses. A second run at the same time would change the
# declarations of the first one and send its load to it.
if curl -s -m 2 -o /dev/null "$CHIVEMAST_PLATFORM/control"; then
  echo "demo: another run answers at $CHIVEMAST_PLATFORM; stop it first" >&2
  exit 1
fi

out=demo-out
rm -rf "$out"
mkdir -p "$out"
domains=(barrierline-a barrierline-b barrierline-c barrierline-d)
load_seconds=${DEMO_SECONDS:-42}

pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 20); do
    running=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && running=1; done
    [ "$running" = 0 ] && return
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

# start NAME COMMAND...: runs a command in the background, with its output in
# NAME.log and its process id in NAME.pid, so that single processes can be stopped
# while make up runs.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$out/$name.pid"
}

instance_address() { echo "127.10.$((11 + ($1 - 1) % 4)).$1"; }
# Each failure domain reaches the platform at its own address, so that /control of
# the platform can cut off a single failure domain.
platform_address() { echo "127.10.$((11 + ($1 - 1) % 4)).250:7000"; }
instance_domain() { echo "${domains[$((($1 - 1) % 4))]}"; }

peers=""
fabric_flags=()
platform_flags=(--listen default=127.10.0.9:7000)
for i in $(seq 4); do
  platform_flags+=(--listen "${domains[$((i - 1))]}=$(platform_address "$i")")
done
for i in $(seq 9); do
  ip=$(instance_address "$i")
  d=$(instance_domain "$i")
  peers+="{\"name\":\"instance-$i\",\"failure_domain\":\"$d\",\"peer_address\":\"$ip:7201\"},"
  fabric_flags+=(--instance "instance-$i=$ip:7200")
  platform_flags+=(--instance "instance-$i,$d,$ip:7201,$ip:7202")
done
for i in $(seq 9); do
  ip=$(instance_address "$i")
  cat >"$out/instance-$i.jsonc" <<EOF
// Settings of instance $i of the demo.
{
  "instance": "instance-$i",
  "failure_domain": "$(instance_domain "$i")",
  "traffic_address": "$ip:7200",
  "peer_address": "$ip:7201",
  "admin_address": "$ip:7202",
  "platform_url": "http://$(platform_address "$i")",
  "peers": [$peers],
}
EOF
done

start platform bin/standin platform "${platform_flags[@]}" --instance-lag 5s
for i in $(seq 9); do
  bin/chivemastd --check --config "$out/instance-$i.jsonc" >/dev/null
  start "instance-$i" bin/chivemastd --config "$out/instance-$i.jsonc"
done
instance_pids=("${pids[@]:1}")
# upstream SERVICE SERVICE_ADDRESS NAME IP:PORT COLD_OPENS_PER_SECOND: starts an
# upstream of team barrierline.
upstream() {
  start "upstream-$3" bin/standin upstream --name "barrierline/$1/$3" --service "$2" --listen "$4" \
    --service-time 5ms --cold-opens-per-second "$5" --ramp 8s --history "$out/upstream-$3.jsonl"
}
for i in $(seq 14); do
  upstream dispatch 127.10.0.1:7101 "dispatch-$(printf %02d "$i")" "127.10.$((1 + (i - 1) % 4)).$((1 + (i - 1) / 4)):7101" 20
done
for i in $(seq 4); do
  upstream photo-evidence 127.10.0.2:7102 "photo-evidence-0$i" "127.10.$i.51:7102" 5
done
start fabric bin/standin fabric --listen 127.10.0.9:7100 --control 127.10.0.9:7101 "${fabric_flags[@]}" --drop 0.001 --duplicate 0.01 --reorder 0.01

for team in barrierline trentside; do
  bin/chivemast validate -f "examples/$team.jsonc"
  bin/chivemast apply --team "$team" -f "examples/$team.jsonc" --wait
done
# Wait until the lease slots have holders, which takes the first write of the slot
# table and one round of heartbeats, and until the cold upstreams have ramped up for
# a few seconds.
sleep "${DEMO_SETTLE:-4}"

if [ "${DEMO_KEEP:-0}" = 1 ]; then
  echo "platform=$CHIVEMAST_PLATFORM instances=9 fabric=127.10.0.9:7100 logs=$out/NAME.log process_ids=$out/NAME.pid; interrupt to stop"
  wait
fi

t0=$(date +%s%3N)
at() { # at SECONDS: sleeps until SECONDS have passed since the start of the load
  local left=$((t0 + $1 * 1000 - $(date +%s%3N)))
  if [ "$left" -gt 0 ]; then sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"; fi
}
out_flags=()
for i in 03 07 11; do
  out_flags+=(--take-out "barrierline/dispatch/dispatch-$i,$((t0 + 14000)),$((t0 + 23000))")
done
out_flags+=(--take-out "barrierline/photo-evidence/photo-evidence-03,$((t0 + 14000)),$((t0 + 23000))")
bin/standin caller --fabric 127.10.0.9:7100 --listen-ip 127.10.0.20 \
  --service 127.10.0.1:7101 --service 127.10.0.2:7102 --duration "${load_seconds}s" \
  --opens-per-second 40 --long-flows 40 --history "$out/caller.jsonl" \
  --upstream-history "$out/upstream-*.jsonl" "${out_flags[@]}" >"$out/report.txt" 2>"$out/caller.log" &
caller=$!

at 6
echo "event=drain upstream=barrierline/dispatch/dispatch-01"
bin/chivemast upstream drain barrierline/dispatch/dispatch-01
at 14
echo "event=take_out failure_domain=barrierline-c"
bin/chivemast domain take-out barrierline-c
at 23
echo "event=bring_back failure_domain=barrierline-c"
bin/chivemast domain bring-back barrierline-c
at 30
echo "event=kill instance=instance-6"
kill -KILL "${instance_pids[5]}"

status=0
wait "$caller" || status=$?
cat "$out/report.txt"
for i in 1 2 3; do
  curl -s "http://$(instance_address "$i"):7202/metrics" >"$out/metrics-$i.txt" || true
done
bin/chivemast status >"$out/status.txt" 2>&1 || true
if [ "$status" = 0 ]; then
  echo "demo=passed"
else
  echo "demo=failed exit=$status logs=$out"
fi
exit "$status"
