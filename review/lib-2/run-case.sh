#!/bin/bash
# Runs one case: run-case.sh FOLDER CASE. The record is FOLDER/record.txt.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
harness=$root/review/lib-2/target/harness
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$harness" ] || [ -z "$run" ]; then
    echo "build first: the build of deploy/balancer.toml, and review/build-2.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
driver=
clean_up() {
    # The host, where the driver did not end it itself. Its id is that of this run's own child.
    [ -n "$driver" ] && kill -TERM "$driver" 2>/dev/null
    if [ -f "$temporary/processes" ]; then
        while read -r process; do kill -KILL "$process" 2>/dev/null; done <"$temporary/processes"
    fi
    rm -rf "$temporary"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
timeout -k 2 110 "$harness" "$2" "$root" "$run" "$temporary" "$folder/record.txt" &
driver=$!
wait "$driver"
status=$?
driver=
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
