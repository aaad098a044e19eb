#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2/stand2 ./review/stand2
