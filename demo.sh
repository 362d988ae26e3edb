#!/usr/bin/env bash
# Runs the whole path on loopback: table service stand-in, two entries, three agents with an upstream
# stand-in each; applies the rules, submits a single request and a job of many tasks, prints the answers and the
# counters, and stops every process gracefully. Exits 0 if each step did what it should.
set -euo pipefail
cd "$(dirname "$0")"

.ci/install
cmake --preset release >/dev/null
cmake --build --preset release --target demo_programs

bin=$PWD/build/release/bin
work=$(mktemp -d "${TMPDIR:-/tmp}/bluebellquay-demo.XXXXXX")
pids=()

cleanup() {
    local pid
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap cleanup EXIT

# Ports are fixed numbers from a base so that the settings can be written before the start.
base=${BLUEBELLQUAY_DEMO_PORT:-23100}
port() { echo $((base + $1)); }

start() { # name, command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
    echo "$!" >"$work/$name.pid"
}

wait_for() { # description, command...
    local what=$1 tries=0
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries + 1))
        if [ "$tries" -gt 300 ]; then
            echo "demo: $what did not happen within 30 s; logs follow" >&2
            tail -n 5 "$work"/*.log >&2
            exit 1
        fi
        sleep 0.1
    done
}

stop() { # name: SIGTERM, then expects exit status 0
    local name=$1 pid
    pid=$(cat "$work/$name.pid")
    kill -TERM "$pid"
    if ! wait "$pid"; then
        echo "demo: $name did not stop gracefully" >&2
        tail -n 20 "$work/$name.log" >&2
        exit 1
    fi
    echo "stopped $name"
}

head -c 24 /dev/urandom | base64 >"$work/peer.secret"
head -c 24 /dev/urandom | base64 >"$work/operator.secret"
chmod 600 "$work"/*.secret

entry_settings() { # number
    cat <<TOML
name = "entry-$1"
data_centre = "fukuoka"
region = "kyushu"
peer_listen = "127.0.0.1:$(port $((10 + $1)))"
peer_secret_file = "$work/peer.secret"
admin_listen = "127.0.0.1:$(port $((20 + $1)))"
caller_listen = "127.0.0.1:$(port $((30 + $1)))"
operator_listen = "127.0.0.1:$(port $((40 + $1)))"
operator_secret_file = "$work/operator.secret"
table_address = "127.0.0.1:$(port 0)"
TOML
}

agent_settings() { # number, data centre
    cat <<TOML
name = "agent-$1"
data_centre = "$2"
region = "kyushu"
peer_listen = "127.0.0.1:$(port $((50 + $1)))"
peer_secret_file = "$work/peer.secret"
admin_listen = "127.0.0.1:$(port $((60 + $1)))"
upstream_listen = "127.0.0.1:$(port $((70 + $1)))"
entries = ["127.0.0.1:$(port 11)", "127.0.0.1:$(port 12)"]
TOML
}

start table "$bin/bluebellquay-table" --listen "127.0.0.1:$(port 0)"
for n in 1 2; do
    entry_settings "$n" >"$work/entry-$n.toml"
    "$bin/bluebellquay-entry" --config "$work/entry-$n.toml" --check
    start "entry-$n" "$bin/bluebellquay-entry" --config "$work/entry-$n.toml"
done
n=0
for centre in fukuoka kumamoto kagoshima; do
    n=$((n + 1))
    agent_settings "$n" "$centre" >"$work/agent-$n.toml"
    "$bin/bluebellquay-agent" --config "$work/agent-$n.toml" --check
    start "agent-$n" "$bin/bluebellquay-agent" --config "$work/agent-$n.toml"
    start "upstream-$n" "$bin/bluebellquay-upstream" --agent "127.0.0.1:$(port $((70 + n)))" \
        --slots 8 --connections 64 --leave-on-sigterm --start-log "$work/starts-$n.log"
done

client=("$bin/bluebellquay")
callers=(--entry "127.0.0.1:$(port 31)" --entry "127.0.0.1:$(port 32)")
operator=(--operator "127.0.0.1:$(port 41)" --secret-file "$work/operator.secret")
# Counters above zero, without the ones of single message kinds.
counters() { admin_get "$1/metrics" | awk '/_total/ && !/^#/ && !/_peer_/ && $2 > 0 { print "  " $0 }'; }
admin_get() { curl -fsS "http://127.0.0.1:$1"; }

echo "== configuration"
wait_for "entry 1 accepts operators" "${client[@]}" config show "${operator[@]}"
"${client[@]}" config check "${operator[@]}" examples/rules.toml
"${client[@]}" config apply "${operator[@]}" --expected-version 0 examples/rules.toml
for n in 1 2; do wait_for "entry $n is ready" admin_get "$(port $((20 + n)))/readyz"; done
for n in 1 2 3; do
    wait_for "agent $n is ready" admin_get "$(port $((60 + n)))/readyz"
    wait_for "agent $n has the rules" bash -c \
        "curl -fsS http://127.0.0.1:$(port $((60 + n)))/metrics | grep -q '^bluebellquay_config_version [1-9]'"
done

echo "== a job of many tasks"
"${client[@]}" submit "${callers[@]}" --output json examples/job.json | tee "$work/answer.json"
tasks=$(grep -c '"payload"' examples/job.json)
starts=$(cat "$work"/starts-*.log | wc -l)
echo "== $tasks tasks, $starts starts counted by the upstreams"
[ "$tasks" -eq "$starts" ]

echo "== the same job again, under the same id, through the other entry"
id=$(sed -n 's/.*"id": *"\([^"]*\)".*/\1/p' "$work/answer.json" | head -1)
"${client[@]}" submit --entry "127.0.0.1:$(port 32)" --id "$id" --output json examples/job.json >"$work/again.json"
cmp "$work/answer.json" "$work/again.json"
[ "$(cat "$work"/starts-*.log | wc -l)" -eq "$starts" ]
echo "same answer, no further start"

echo "== counters"
for n in 1 2; do
    echo "entry-$n:"
    counters "$(port $((20 + n)))"
done
for n in 1 2 3; do
    echo "agent-$n:"
    counters "$(port $((60 + n)))"
done

echo "== graceful stop"
for n in 1 2 3; do stop "upstream-$n"; done
for n in 1 2 3; do stop "agent-$n"; done
for n in 1 2; do stop "entry-$n"; done
stop table
echo "demo: ok"
