#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-3/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/bin/chervilspringd ] || exit 2
timeout --kill-after=2 118 "$program" target/bin/chervilspringd deploy/settings.ini \
  "$folder/record.txt"
status=$?
[ $status -le 1 ] && exit $status
exit 2
