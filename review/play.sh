#!/usr/bin/env bash
# Plays one case: play.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
program="$(dirname "$0")/standins/target/release/review-standins"
if [ ! -x "$program" ]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
SCRATCH="$(mktemp -d)" || exit 2
export SCRATCH

# Ends the routers that the program started and did not end, and removes the temporary folder.
clean_up() {
    if [ -n "${driver:-}" ]; then
        kill -KILL "$driver" 2>/dev/null
    fi
    if [ -f "$SCRATCH/pids" ]; then
        while read -r pid; do
            if grep -q plovercove "/proc/$pid/cmdline" 2>/dev/null; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done < "$SCRATCH/pids"
    fi
    rm -rf "$SCRATCH"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

timeout -k 1 110 "$program" "$1" "$2" &
driver=$!
wait "$driver"
verdict=$?
driver=
case "$verdict" in
    0 | 1) exit "$verdict" ;;
    *) exit 2 ;;
esac
