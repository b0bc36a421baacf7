#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 0 if the rule
# held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/review/standin ] || ! [ -x target/marigoldd ]; then
  echo "build first: the line of deploy/system.toml, then review/build.sh"
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review/standin -case bookings -trouble=$trouble -record review/5/record.txt
