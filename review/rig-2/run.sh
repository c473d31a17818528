#!/bin/sh
# Runs one case: rig-2/run.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# KEEP_LOG=FILE keeps the router's log.
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.." || exit 2
program="target/review-2/case-$(basename "$case_folder")"
if [ ! -x "$program" ] || [ ! -x target/release/plovercove ]; then
    echo "the case could not run: build with the deploy file's command and review/build-2.sh first"
    exit 2
fi
temporary=$(mktemp -d) || exit 2

# The program ends its router itself; this is for the case that the program was ended.
end() {
    [ -n "${driver:-}" ] && kill -TERM "$driver" 2>/dev/null
    if [ -e "$temporary/pids" ]; then
        while read -r pid; do
            if grep -q plovercove "/proc/$pid/cmdline" 2>/dev/null; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done < "$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap 'end; exit 2' INT TERM HUP

timeout -k 2 110 "$program" "$case_folder" "$temporary" &
driver=$!
wait "$driver"
code=$?
driver=
[ -n "${KEEP_LOG:-}" ] && cp "$temporary/router.log" "$KEEP_LOG"
end
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
