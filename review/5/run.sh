#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chestnutbeam ] && [ -x target/review/lab ] || { echo "build first: the line build of deploy/system.toml, then review/build.sh"; exit 2; }
exec target/review/lab evacuate review/5/record.txt
