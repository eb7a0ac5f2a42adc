#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/case-$(basename "$here")
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$program" "$root" "$here/record.txt"
