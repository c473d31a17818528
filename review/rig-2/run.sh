#!/bin/sh
# Runs one case: rig-2/run.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.." || exit 2
number=$(basename "$case_folder")
program="target/review-2/case-$number"
if [ ! -x "$program" ] || [ ! -x target/release/plovercove ]; then
    echo "the case could not run: build with the deploy file's command and review/build-2.sh first"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
end() {
    # The router is ended by the program; this is for the case that the program itself was ended.
    if [ -e "$temporary/pids" ]; then
        for pid in $(cat "$temporary/pids"); do kill -9 "$pid" 2>/dev/null; done
    fi
    rm -rf "$temporary"
}
trap 'end; exit 2' INT TERM HUP
timeout -k 2 110 "$program" "$case_folder" "$temporary"
code=$?
[ -n "${KEEP_LOG:-}" ] && cp "$temporary/router.log" "$KEEP_LOG"
end
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
