#!/usr/bin/env bash
# Plays the case `ghost`; with TROUBLE=0 without its disruption. Needs review/build.sh and the build of
# the deploy file.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sassafras-relay ] && [ -x target/review/case ] || exit 2
exec target/review/case ghost review/5
