#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. It needs Go alone, and no
# network: the module uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.standin"
mkdir -p ../../target/review
go build -o ../../target/review/standin .
