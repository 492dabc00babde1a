#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$case_folder/../.." && pwd) || exit 2
driver="$root/target/review-2/case-$(basename "$case_folder")"
[ -x "$driver" ] || { echo "run review/build-2.sh first"; exit 2; }
temporary=$(mktemp -d) || exit 2
# Each server has a listening socket of its own.
ulimit -n 4096 || exit 2
TMPDIR=$temporary "$driver" "$case_folder" "$root"
status=$?
rm -rf "$temporary"
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
