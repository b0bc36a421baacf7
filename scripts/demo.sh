#!/usr/bin/env bash
# Demonstrates the whole system on this machine: it starts a fake platform and
# three hosts in two zones, proposes, approves and releases a register with rules,
# and sends a request of each class. Every program is a separate process on the
# loopback interface, on a port chosen by the kernel. On exit the script stops the
# processes that it started, by process ID; with --keep it leaves them running and
# prints how to reach and stop them.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
[ "${1:-}" = --keep ] && keep=yes
work_dir=$(mktemp -d)
pids=()

stop_all() {
  local status=$?
  if [ "$keep" = yes ] && [ "$status" = 0 ]; then
    return
  fi
  # Reverse order of the start: a node stops cleanly while its backend server and
  # the platform still run.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" 2>/dev/null || true
  done
  rm -rf "$work_dir"
  [ "$status" = 0 ] && echo "demo: ok"
  exit "$status"
}
trap stop_all EXIT

step() { printf '\n== %s\n' "$*"; }

# start NAME PROGRAM ARGS... starts a program in the background and waits up to 10
# seconds until it has printed its addresses.
start() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
  pids+=($!)
  for _ in $(seq 200); do
    [ -s "$work_dir/$name.out" ] && return
    sleep 0.05
  done
  echo "demo: $name did not print its addresses within 10 seconds"
  cat "$work_dir/$name.log"
  exit 1
}

# address NAME KEY prints one address of a program started by start.
address() { sed -n 's/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$work_dir/$1.out"; }

# start_host HOST ZONE SERVICE starts the backend server and the node of a host.
start_host() {
  start "backend-$1" "$work_dir/bin/backend-standin" --name "$1"
  cat >"$work_dir/$1.json" <<JSON
{
  "host": "$1",
  "zone": "$2",
  "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0", "probes": "127.0.0.1:0"},
  "peers": {"secret": "demo-peers-secret-1"},
  "backend": {"service": "$3", "address": "$(address "backend-$1" Address)", "slots": 6},
  "platform": {"url": "http://$(address platform Address)"},
  "credentials": [
    {"name": "nadia", "role": "operator", "token": "operator-secret-0001"},
    {"name": "menders", "role": "customer", "customer": "menders", "token": "customer-secret-0001"}
  ]
}
JSON
  start "$1" "$work_dir/bin/marigoldd" "$work_dir/$1.json"
  echo "$1 in zone $2 runs service $3, callers' listener $(address "$1" Callers)"
}

step "build the programs"
go build -o "$work_dir/bin/" ./cmd/marigold ./cmd/marigoldd ./cmd/platform-standin ./cmd/backend-standin

step "start a fake platform and three hosts in two zones"
start platform "$work_dir/bin/platform-standin"
start_host fes-1 fes desk
start_host fes-2 fes quote
start_host meknes-1 meknes desk

cat >"$work_dir/register.json" <<'JSON'
{
  "services": [{"name": "desk", "customer": "menders"}, {"name": "quote", "customer": "menders"}],
  "hosts": [
    {"id": "fes-1", "zone": "fes", "service": "desk"},
    {"id": "fes-2", "zone": "fes", "service": "quote"},
    {"id": "meknes-1", "zone": "meknes", "service": "desk"}
  ]
}
JSON
cat >"$work_dir/rules.json" <<'JSON'
{
  "rules": [
    {"id": "status", "host_name": "desk.example", "path_prefix": "/status", "service": "desk",
      "class": "lookup", "deadline_ms": 2000, "retries": 2, "hedge": true},
    {"id": "book", "host_name": "desk.example", "path_prefix": "/book", "service": "desk",
      "class": "booking", "deadline_ms": 5000, "retries": 2},
    {"id": "photos", "host_name": "quote.example", "path_prefix": "/photos", "service": "quote",
      "class": "upload", "deadline_ms": 60000, "retries": 1},
    {"id": "rosters", "host_name": "desk.example", "path_prefix": "/rosters", "service": "desk",
      "class": "background", "deadline_ms": 10000, "retries": 0}
  ]
}
JSON

export MARIGOLD_NODE="http://$(address fes-1 Operators)" MARIGOLD_TOKEN=operator-secret-0001
export MARIGOLD_DRAFT="$work_dir/draft.json"
marigold() { "$work_dir/bin/marigold" "$@"; }

step "the operator proposes a register and rules"
marigold propose --register "$work_dir/register.json" --rules "$work_dir/rules.json" --id first
marigold diff first
digest=$(marigold --json diff first | sed -n 's/.*"digest": *"\([0-9a-f]\{64\}\)".*/\1/p' | head -1)

step "a release without the customer's approval is refused"
if marigold release first; then
  echo "demo: the proposal was released without approval"
  exit 1
fi

step "the customer approves the digest, the operator releases"
MARIGOLD_TOKEN=customer-secret-0001 marigold approve first --digest "$digest"
marigold release first

# call NAME HOST PATH CURL-ARGS... sends a request through a host's node and repeats
# it until it succeeds, up to 200 times. It stores the response body in
# $work_dir/answer.
call() {
  local name=$1 host=$2 path=$3
  shift 3
  for _ in $(seq 200); do
    if curl -sS --fail -o "$work_dir/answer" "$@" "http://$(address "$host" Callers)$path" 2>"$work_dir/curl"; then
      echo "$name through $host: $(cat "$work_dir/answer")"
      return
    fi
    sleep 0.1
  done
  echo "demo: $name request through $host got no successful response: $(cat "$work_dir/curl")"
  exit 1
}

step "a request of each class, through nodes of both zones"
head -c 2000000 /dev/urandom >"$work_dir/photo"
call lookup meknes-1 /status/cup-7 -H 'Host: desk.example'
call booking fes-2 /book/cup-7 -H 'Host: desk.example' -d slot=monday
call upload meknes-1 /photos/cup-7 -H 'Host: quote.example' -T "$work_dir/photo"
call background fes-1 /rosters -H 'Host: desk.example'
sum=$(sha256sum "$work_dir/photo" | cut -d' ' -f1)
call "second upload" fes-1 /photos/cup-7 -H 'Host: quote.example' -T "$work_dir/photo"
grep -q "$sum" "$work_dir/answer" || { echo "demo: the SHA-256 of the upload is not in the response"; exit 1; }

step "a booking repeated with the same idempotency key runs once"
for host in fes-1 meknes-1; do
  call "booking with key" "$host" /book/cup-9 -H 'Host: desk.example' -H 'X-Run: cup-9' -H 'Idempotency-Key: cup-9' -d slot=friday
done
runs=0
for host in fes-1 meknes-1; do
  runs=$((runs + $(curl -sS "http://$(address "backend-$host" Address)/standin/runs?run=cup-9")))
done
echo "runs: $runs"
[ "$runs" = 1 ] || exit 1

step "status of the fleet"
marigold status

if [ "$keep" = yes ]; then
  step "the processes are still running"
  echo "MARIGOLD_NODE=$MARIGOLD_NODE MARIGOLD_TOKEN=$MARIGOLD_TOKEN"
  echo "programs and logs: $work_dir; stop with: kill ${pids[*]}"
  echo "demo: ok"
fi
