#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
command -v python3 > /dev/null && test -x target/release/monsoonrouter-platform || exit 2
TROUBLE=${TROUBLE:-1} python3 "$folder/case.py" "$folder/record.txt"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
