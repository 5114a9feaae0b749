#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/case3 ] && [ -x target/release/tindoor ] || { echo "build first" >&2; exit 2; }
PROCESSES=$(mktemp) || exit 2
export PROCESSES
finish() { # ends what still runs
    [ -n "$case" ] && kill "$case" 2>/dev/null
    process=$(cat "$PROCESSES" 2>/dev/null)
    [ -n "$process" ] && kill -9 "$process" 2>/dev/null
    rm -f "$PROCESSES"
}
trap finish EXIT
trap 'exit 2' INT TERM
review/build/case3 review/3/record.txt &
case=$!
wait "$case"
code=$?
case=
exit "$code"
