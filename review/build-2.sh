#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the project's stand-ins in them, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
	[ ! -f "review/$case/main.go" ] || go build -tags review -o "target/review-2/case-$case" "./review/$case"
done
