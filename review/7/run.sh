#!/bin/bash
# Plays the case "late-copy-of-a-failure"; TROUBLE=0 plays it without the disruption. It needs the build of
# deploy/system.toml and review/build-2.sh. Exit status: 1 broken, 0 held, 2 could not run.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/mulberry-node ] && [ -x target/review-cases2 ] || exit 2
exec target/review-cases2 late-copy-of-a-failure "$here"
