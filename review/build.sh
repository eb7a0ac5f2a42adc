#!/usr/bin/env bash
# Builds every stand-in that the scripts of the review start. Packages: g++ and libboost-json1.81-dev.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in */main.cpp; do
  name=${source%/main.cpp}
  g++ -std=c++20 -O1 -Wall -Wextra -o "bin/case$name" "$source" -lboost_json -pthread &
done
wait
for source in */main.cpp; do
  test -x "bin/case${source%/main.cpp}"
done
