#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*; do
	if [ -d "$case/driver" ]; then
		go build -tags review -o "target/review/$(basename "$case")" "./$case/driver"
	fi
done
