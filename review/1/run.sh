#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x ../bin/case1 ] && [ -x "$root/target/bin/chervilspringd" ] || exit 2
timeout -k 2 110 ../bin/case1 "$root" "$PWD/record.txt"
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
