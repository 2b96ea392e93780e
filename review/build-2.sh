#!/bin/bash
# Builds the stand-ins that the scripts of this review's cases start: one program, which is the
# platform, the engines and the clients of each case. The project's own programs are built by the
# build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-cases2 ./review/_cases2
