#!/bin/sh
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/cases2
go build -o target/review/ ./review/harness
