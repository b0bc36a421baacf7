#!/usr/bin/env bash
# Shows the whole path on this machine: a platform, three hosts in two zones,
# one register taken through proposal, approval and release, and a call of each
# kind. Every program is a process of its own, on loopback with ports from the
# kernel. Everything it starts is stopped by id at the end; --keep leaves it
# running and prints the addresses.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
[ "${1:-}" = --keep ] && keep=yes
work=$(mktemp -d)
ids=()

stop_all() {
  local status=$?
  if [ "$keep" = yes ] && [ "$status" = 0 ]; then
    return
  fi
  # Nodes first, so that they can leave in order; then what they stand on.
  for ((i = ${#ids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${ids[$i]}" 2>/dev/null || true
    wait "${ids[$i]}" 2>/dev/null || true
  done
  rm -rf "$work"
  [ "$status" = 0 ] && echo "demo: ok"
  exit "$status"
}
trap stop_all EXIT

step() { printf '\n== %s\n' "$*"; }

# start NAME PROGRAM ARGS... runs a program and waits for its line of addresses.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  ids+=($!)
  for _ in $(seq 200); do
    [ -s "$work/$name.out" ] && return
    sleep 0.05
  done
  echo "demo: $name did not start"
  cat "$work/$name.log"
  exit 1
}

# address NAME KEY prints one address of what start started.
address() { sed -n 's/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$work/$1.out"; }

# node HOST ZONE SERVICE starts a backend server and the node beside it.
node() {
  start "backend-$1" "$work/bin/backend-standin" --name "$1"
  cat >"$work/$1.json" <<JSON
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
  start "$1" "$work/bin/marigoldd" "$work/$1.json"
  echo "$1 in $2 runs $3, callers at $(address "$1" Callers)"
}

step "build"
go build -o "$work/bin/" ./cmd/marigold ./cmd/marigoldd ./cmd/platform-standin ./cmd/backend-standin

step "start the platform's stand-in and three hosts in two zones"
start platform "$work/bin/platform-standin"
node fes-1 fes desk
node fes-2 fes quote
node meknes-1 meknes desk

cat >"$work/register.json" <<'JSON'
{
  "services": [{"name": "desk", "customer": "menders"}, {"name": "quote", "customer": "menders"}],
  "hosts": [
    {"id": "fes-1", "zone": "fes", "service": "desk"},
    {"id": "fes-2", "zone": "fes", "service": "quote"},
    {"id": "meknes-1", "zone": "meknes", "service": "desk"}
  ]
}
JSON
cat >"$work/rules.json" <<'JSON'
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
export MARIGOLD_DRAFT="$work/draft.json"
marigold() { "$work/bin/marigold" "$@"; }

step "the operator proposes"
marigold propose --register "$work/register.json" --rules "$work/rules.json" --id first
marigold diff first
digest=$(marigold --json diff first | sed -n 's/.*"digest": *"\([0-9a-f]\{64\}\)".*/\1/p' | head -1)

step "a release without the customer's approval is refused"
if marigold release first; then
  echo "demo: a change was released without approval"
  exit 1
fi

step "the customer approves exactly this content, the operator releases"
MARIGOLD_TOKEN=customer-secret-0001 marigold approve first --digest "$digest"
marigold release first

# call NAME HOST CURL-ARGS... calls through a host's node until it is answered.
call() {
  local name=$1 host=$2 path=$3
  shift 3
  for _ in $(seq 200); do
    if curl -sS --fail -o "$work/answer" "$@" "http://$(address "$host" Callers)$path" 2>"$work/curl"; then
      echo "$name through $host: $(cat "$work/answer")"
      return
    fi
    sleep 0.1
  done
  echo "demo: $name was not answered: $(cat "$work/curl")"
  exit 1
}

step "calls of each kind, through nodes of both zones"
head -c 2000000 /dev/urandom >"$work/photo"
call lookup meknes-1 /status/cup-7 -H 'Host: desk.example'
call booking fes-2 /book/cup-7 -H 'Host: desk.example' -d slot=monday
call upload meknes-1 /photos/cup-7 -H 'Host: quote.example' -T "$work/photo"
call background fes-1 /rosters -H 'Host: desk.example'
sum=$(sha256sum "$work/photo" | cut -d' ' -f1)
call "upload again" fes-1 /photos/cup-7 -H 'Host: quote.example' -T "$work/photo"
grep -q "$sum" "$work/answer" || { echo "demo: the upload did not arrive whole"; exit 1; }

step "a booking repeated under its key runs once"
for host in fes-1 meknes-1; do
  call "keyed booking" "$host" /book/cup-9 -H 'Host: desk.example' -H 'X-Run: cup-9' -H 'Idempotency-Key: cup-9' -d slot=friday
done
runs=0
for host in fes-1 meknes-1; do
  runs=$((runs + $(curl -sS "http://$(address "backend-$host" Address)/standin/runs?run=cup-9")))
done
echo "runs: $runs"
[ "$runs" = 1 ] || exit 1

step "status"
marigold status

if [ "$keep" = yes ]; then
  step "still running"
  echo "MARIGOLD_NODE=$MARIGOLD_NODE MARIGOLD_TOKEN=$MARIGOLD_TOKEN"
  echo "programs and logs: $work; stop with: kill ${ids[*]}"
  echo "demo: ok"
fi
