#!/usr/bin/env bash
# The whole system as separate processes on this machine's loopback address:
# the platform's stand-ins, three model engines, a plain service and a scorer
# with their agents, and two entries in two zones. Everything it makes stands
# in run/ and bin/.
#
#   scripts/local.sh up               build, start, apply examples/local.csv, wait until ready
#   scripts/local.sh status           what runs, and the table version in force everywhere
#   scripts/local.sh env              print the settings of mulberryctl, for eval
#   scripts/local.sh restart NAME...  stop gracefully and start again, such as entry-1 agent-2
#   scripts/local.sh down             stop everything gracefully, entries first
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=bin
RUN=run
KEYS=$RUN/keys
HOST=127.0.0.1

# Fixed ports. An entry has three: callers, our processes and operators.
TABLE=$HOST:9001
OBJECTS=$HOST:9002
INSTANCES=$HOST:9003
WEIGHTS=$HOST:9004

ENTRIES=(entry-1 entry-2)
AGENTS=(agent-1 agent-2 agent-3 agent-service agent-scorer)
STANDINS=(table objects instances weights engine-1 engine-2 engine-3 service scorer)

START_TRIES=300   # of 0.1 s
STOP_TRIES=6500   # of 0.1 s: longer than the longest drain

export MULBERRY_ADMIN_TOKEN=${MULBERRY_ADMIN_TOKEN:-local-operators}
export MULBERRY_TABLE_SERVICE=http://$TABLE
export MULBERRY_OPERATORS=$HOST:8081,$HOST:8091

zone_of() {
  case $1 in
    entry-2 | agent-3 | agent-scorer) echo bhaktapur ;;
    *) echo patan ;;
  esac
}

# command_of NAME: the command line of a process, one word a line.
command_of() {
  local standin=$BIN/mulberry-standin
  local engine=(--token-time 10ms --model guide=1)
  case $1 in
    table) printf '%s\n' $standin table --listen $TABLE ;;
    objects) printf '%s\n' $standin objects --listen $OBJECTS ;;
    instances) printf '%s\n' $standin instances --listen $INSTANCES --lag 2s ;;
    weights) printf '%s\n' $standin weights --listen $WEIGHTS ;;
    engine-[123]) printf '%s\n' $standin engine --id "$1" --listen "$HOST:910${1#engine-}" "${engine[@]}" ;;
    service) printf '%s\n' $standin service --id service --listen $HOST:9201 ;;
    scorer) printf '%s\n' $standin scorer --id scorer --listen $HOST:9202 ;;
    agent-[123]) printf '%s\n' $BIN/mulberry-agent $(common "$1") --listen "$HOST:710${1#agent-}" --admin "$HOST:711${1#agent-}" \
      --engine "http://$HOST:910${1#agent-}" --models guide --weight-store http://$WEIGHTS \
      --instance-list http://$INSTANCES --target-interval 1s ;;
    agent-service) printf '%s\n' $BIN/mulberry-agent $(common "$1") --listen $HOST:7104 --admin $HOST:7114 \
      --service http://$HOST:9201 --services listings,bookings ;;
    agent-scorer) printf '%s\n' $BIN/mulberry-agent $(common "$1") --listen $HOST:7105 --admin $HOST:7115 \
      --service http://$HOST:9202 --services guide-scorer ;;
    entry-1) printf '%s\n' $BIN/mulberry-entry $(common "$1") --listen $HOST:8080 --admin $HOST:8081 \
      --peer-listen $HOST:7001 --instance-list http://$INSTANCES ;;
    entry-2) printf '%s\n' $BIN/mulberry-entry $(common "$1") --listen $HOST:8090 --admin $HOST:8091 \
      --peer-listen $HOST:7002 --instance-list http://$INSTANCES ;;
    *) echo "no process $1" >&2; return 2 ;;
  esac
}

common() {
  echo --id "$1" --zone "$(zone_of "$1")" --ca $KEYS/ca.pem --cert "$KEYS/$1.pem" --key "$KEYS/$1.key"
}

# value_of NAME FLAG: the value of a flag on a process's command line.
value_of() {
  command_of "$1" | grep -A1 -x -e "$2" | tail -1
}

running() {
  local file=$RUN/$1.pid
  [ -f "$file" ] && kill -0 "$(cat "$file")" 2>/dev/null
}

start() {
  local command
  if running "$1"; then
    return
  fi
  mapfile -t command < <(command_of "$1")
  nohup "${command[@]}" >>"$RUN/$1.log" 2>&1 &
  echo $! >"$RUN/$1.pid"
}

# stop NAME...: SIGTERM to all of them, then wait for each.
stop() {
  local name
  for name in "$@"; do
    if running "$name"; then
      kill -TERM "$(cat "$RUN/$name.pid")"
    fi
  done
  for name in "$@"; do
    await_end "$name"
    rm -f "$RUN/$name.pid"
  done
}

await_end() {
  local i
  for ((i = 0; i < STOP_TRIES; i++)); do
    if ! running "$1"; then
      return
    fi
    sleep 0.1
  done
  echo "$1 does not stop; see $RUN/$1.log" >&2
  return 1
}

# await_http NAME URL: until a URL answers with a status below 400.
await_http() {
  local i
  for ((i = 0; i < START_TRIES; i++)); do
    if curl -sf -o /dev/null "$2"; then
      return
    fi
    if ! running "$1"; then
      echo "$1 has ended:" >&2
      tail -5 "$RUN/$1.log" >&2
      return 1
    fi
    sleep 0.1
  done
  echo "$1 does not become ready; see $RUN/$1.log" >&2
  return 1
}

# register NAME: puts a process into the stand-in instance list, as the platform does.
register() {
  local role=agent flag=--listen
  case $1 in entry-*) role=entry flag=--peer-listen ;; esac
  curl -sf -X PUT "http://$INSTANCES/instances/$1" \
    -d "{\"role\":\"$role\",\"zone\":\"$(zone_of "$1")\",\"addr\":\"$(value_of "$1" $flag)\"}"
}

await_ready() {
  local name
  for name in "$@"; do
    await_http "$name" "http://$(value_of "$name" --admin)/ready"
  done
}

# await_known: until the entries hear from every process and none drains or lags.
await_known() {
  local i
  for ((i = 0; i < START_TRIES; i++)); do
    if ! $BIN/mulberryctl status 2>&1 | grep -qE 'draining| lags |not answer|refused'; then
      return
    fi
    sleep 0.1
  done
  echo "not every process is known to the entries; see scripts/local.sh status" >&2
  return 1
}

make_keys() {
  if [ ! -f $KEYS/ca.key ]; then
    $BIN/mulberryctl keys authority --dir $KEYS >/dev/null
  fi
  $BIN/mulberryctl keys issue --dir $KEYS "${ENTRIES[@]}" "${AGENTS[@]}" >/dev/null
}

up() {
  local name
  mkdir -p $BIN $RUN
  echo "building into $BIN/"
  go build -o $BIN/ ./cmd/...
  make_keys
  for name in "${STANDINS[@]}"; do
    start "$name"
  done
  await_http table http://$TABLE/records
  await_http instances http://$INSTANCES/instances
  if ! curl -sf -o /dev/null http://$TABLE/records/table%2Fcurrent; then
    $BIN/mulberryctl apply --yes examples/local.csv
  fi
  for name in "${AGENTS[@]}" "${ENTRIES[@]}"; do
    start "$name"
    register "$name"
  done
  await_ready "${AGENTS[@]}" "${ENTRIES[@]}"
  $BIN/mulberryctl status --wait 30s
  echo "entries: http://$HOST:8080 http://$HOST:8090, logs: $RUN/*.log"
}

down() {
  stop "${ENTRIES[@]}"
  stop "${AGENTS[@]}"
  stop "${STANDINS[@]}"
  echo "stopped"
}

restart() {
  local name
  if [ $# -eq 0 ]; then
    echo "usage: scripts/local.sh restart NAME..." >&2
    return 2
  fi
  for name in "$@"; do
    command_of "$name" >/dev/null
    stop "$name"
    start "$name"
    case $name in entry-* | agent-*) await_ready "$name" && await_known ;; esac
    echo "$name restarted"
  done
}

status() {
  local name
  for name in "${STANDINS[@]}" "${AGENTS[@]}" "${ENTRIES[@]}"; do
    if running "$name"; then
      echo "$name runs, process $(cat "$RUN/$name.pid")"
    else
      echo "$name does not run"
    fi
  done
  $BIN/mulberryctl status
}

print_env() {
  local name
  for name in MULBERRY_TABLE_SERVICE MULBERRY_OPERATORS MULBERRY_ADMIN_TOKEN; do
    echo "export $name=${!name}"
  done
  echo "export PATH=$PWD/$BIN:\$PATH"
}

case ${1:-} in
  up) up ;;
  down) down ;;
  restart) shift; restart "$@" ;;
  status) status ;;
  env) print_env ;;
  *) echo "usage: scripts/local.sh up | status | env | restart NAME... | down" >&2; exit 2 ;;
esac
