#!/bin/sh
# Builds the stand-ins of the cases of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -trimpath -o target/review-2 ./review/standin-2
