#!/usr/bin/env bash
# Plays the case. It ends with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/aspenloft-node ] && [ -x target/review-3/stage ] || exit 2
exec timeout -k 2 115 target/review-3/stage limits "$here" "${TROUBLE:-1}"
