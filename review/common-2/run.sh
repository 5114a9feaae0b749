# Runs one case: run STAND_IN, from the case's folder. Read by the cases' run.sh.
run() {
    folder=$(cd "$(dirname "$0")" && pwd)
    cd "$folder/../.." || exit 2
    for program in target/release/tindoor "target/review-2/$1"; do
        [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
    done
    temporary=$(mktemp -d) || exit 2
    trap 'end_processes; rm -rf "$temporary"' EXIT
    trap 'exit 2' INT TERM
    timeout -k 5 110 "target/review-2/$1" "$folder" "$temporary"
    code=$?
    # What is neither of the three verdicts, such as a stand-in that failed, is no verdict.
    case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
}

# Ends the routers of a case that was itself ended before it could. It ends only what still is a router of this case:
# its environment names the case's temporary folder.
end_processes() {
    [ -f "$temporary/processes" ] || return 0
    while read -r process; do
        if tr '\0' '\n' 2>/dev/null <"/proc/$process/environ" | grep -qx "TMPDIR=$temporary"; then
            kill -KILL "$process" 2>/dev/null
        fi
    done <"$temporary/processes"
}
