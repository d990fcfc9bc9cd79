#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
top=$PWD
cd review/stand2
CGO_ENABLED=0 go build -buildvcs=false -trimpath -o "$top/bin/review-stand2" .
