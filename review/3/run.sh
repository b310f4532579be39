#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/azuresaddle target/review/release/slow_reader; do
    [ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec target/review/release/slow_reader review/3
