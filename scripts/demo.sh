#!/usr/bin/env bash
# Runs the Feed Board example on loopback as separate processes, sends a mixed
# load, kills one daemon and stops another, and checks every response. The last
# line counts the calls; the exit status is 0 only when none was lost and none
# ran twice. Every process is started here and ended by its id.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly example=examples/feed-board
readonly out=out/demo
readonly platform=127.0.0.1:17900
readonly data_centres="anand kheda mehsana"
readonly runners_per_data_centre=3
readonly daemons_per_data_centre=2
readonly model=feed-rota-7b
# Time that a service needs for a call, so that a killed daemon leaves some open.
readonly service_delay=150ms
# Seconds between the start of the load and each planned event.
readonly kill_after=6
readonly stop_after=6
# Attempts, a tenth of a second apart, until an address must respond.
readonly ready_attempts=150

declare -A pids=()

log() { printf '%s %s\n' "$(date +%T)" "$*"; }

# start NAME COMMAND... runs a process in the background with its log below out/.
start() {
  local name=$1
  shift
  "$@" >>"$out/$name.log" 2>&1 &
  pids[$name]=$!
}

end_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap end_all EXIT

# address_of ID prints the address of a VM in the VM list.
address_of() {
  sed -n "s/.*\"id\": \"$1\", \"address\": \"\([^\"]*\)\".*/\1/p" "$example/vms.json"
}

peer_address_of() {
  sed -n "s/.*\"id\": \"$1\",.*\"peer_address\": \"\([^\"]*\)\".*/\1/p" "$example/vms.json"
}

start_daemon() {
  start "$1" bin/bergamotd --settings "$example/settings/$1.json"
}

# await_ready ID waits until a daemon reports that it is ready.
await_ready() {
  local attempt
  for ((attempt = 0; attempt < ready_attempts; attempt++)); do
    if bin/bergamot-standin get "http://$(address_of "$1")/readyz" >/dev/null 2>&1; then
      return
    fi
    if ! kill -0 "${pids[$1]}" 2>/dev/null; then
      break
    fi
    sleep 0.1
  done
  echo "demo: daemon $1 did not become ready; see $out/$1.log" >&2
  exit 1
}

start_all() {
  local dc n name
  start platform bin/bergamot-standin platform --listen "$platform" --vms "$example/vms.json"
  for dc in $data_centres; do
    for ((n = 1; n <= runners_per_data_centre; n++)); do
      name=$dc-runner-$n
      start "$name" bin/bergamot-standin engine --listen "$(address_of "$name")" \
        --name "$name" --model "$model" --checks-fencing
    done
    name=$dc-app-1
    start "$name" bin/bergamot-standin service --listen "$(address_of "$name")" \
      --name "$name" --delay "$service_delay"
    for ((n = 1; n <= daemons_per_data_centre; n++)); do
      start_daemon "$dc-$n"
      daemons+=("$dc-$n")
    done
  done
}

# replace_killed ID kills a daemon immediately, as the loss of its VM would.
replace_killed() {
  log "SIGKILL to daemon $1"
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  sleep 1
  start_daemon "$1"
  log "replacement of daemon $1 started"
}

# replace_stopped ID stops a daemon gracefully and waits until it has finished.
replace_stopped() {
  local status=0
  log "SIGTERM to daemon $1"
  kill -TERM "${pids[$1]}"
  wait "${pids[$1]}" || status=$?
  log "daemon $1 ended with status $status"
  start_daemon "$1"
  log "replacement of daemon $1 started"
}

# print_burn adds up the reports of all daemons. The counts of the killed and of the
# stopped daemon were lost with their processes.
print_burn() {
  local name addresses=()
  for name in "${daemons[@]}"; do
    addresses+=(--daemon "$(peer_address_of "$name")")
  done
  echo "service-level burn by rank and profile:"
  bin/bergamotctl burn "${addresses[@]}"
}

daemons=()
rm -rf "$out"
mkdir -p "$out"
bin/bergamot-standin check-ports --vms "$example/vms.json" "$platform"
start_all
log "started ${#pids[@]} processes; logs are in $out/"
bin/bergamot-standin await "http://$platform/v1/vms"
bin/bergamotctl publish "$example/configuration.json" --log "http://$platform" --author demo
for name in "${daemons[@]}"; do
  await_ready "$name"
done
log "all daemons are ready; sending the load"

bin/bergamot-standin load --vms "$example/vms.json" --configuration "$example/configuration.json" \
  --traffic "$example/traffic.json" --seed "${SEED:-1}" --result "$out/result" &
pids[load]=$!
sleep "$kill_after"
replace_killed anand-2
sleep "$stop_after"
replace_stopped kheda-1

status=0
wait "${pids[load]}" || status=$?
if [[ ! -s $out/result ]]; then
  echo "demo: the load ended without a result" >&2
  exit 1
fi
print_burn
cat "$out/result"
exit "$status"
