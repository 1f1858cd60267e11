#!/bin/sh
# Builds the stand-ins of the second review's scripts. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/standin-2
