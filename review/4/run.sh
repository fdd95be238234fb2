#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/basilfield ] || [ ! -x target/review/standin ]; then
    echo "build first: the build line of deploy/system.toml, then review/build.sh"
    exit 2
fi
exec timeout --kill-after=5 118 target/review/standin two-builds review/4/record.txt
