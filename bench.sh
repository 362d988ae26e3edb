#!/usr/bin/env bash
# Runs the benchmarks against the bounds of docs/design.md, section 1: the policy driver under a virtual clock and the
# daemons as processes on loopback. Writes build/bench/results.jsonl, prints a table and exits with another status
# than 0 if a figure is beyond its bound. --quick takes short windows and ends within a minute after the build.
set -euo pipefail
cd "$(dirname "$0")"

quick=()
case "${1:-}" in
"") ;;
--quick) quick=(--quick) ;;
*)
    echo "usage: bench.sh [--quick]" >&2
    exit 2
    ;;
esac

.ci/install
cmake --preset release >/dev/null
cmake --build --preset release --target bench_policy bench_process bench_chaos bench_report

bin=build/release/bin
results=build/bench
rm -rf "$results"
mkdir -p "$results"

# A benchmark that ends with an error may have written results; those, and the error, decide in the end.
failed=()
run() { # name
    echo "== $1"
    "$bin/$1" --output "$results/$1.jsonl" "${quick[@]}" || failed+=("$1")
}
run bench_policy
run bench_process
# 220 faults on real processes take longer than --quick allows; .ci/run has a shorter run.
[ "${#quick[@]}" -gt 0 ] || run bench_chaos

cat "$results"/bench_*.jsonl >"$results/results.jsonl"
echo "== results (load average $(cut -d' ' -f1-3 /proc/loadavg))"
status=0
"$bin/bench_report" "$results/results.jsonl" || status=1
if [ "${#failed[@]}" -gt 0 ]; then
    echo "ended with an error: ${failed[*]}"
    status=1
fi
exit "$status"
