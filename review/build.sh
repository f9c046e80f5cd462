#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the store, the runners and the clients, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/harness ./review/harness
