#!/bin/sh
# Compares placement rules on real processes: five variants at the same time, with the same seed.
# Usage: bench/placement.sh LOAD_PERCENT MIX SECONDS
set -eu
here=$(dirname "$0")
round_trip_us=1000
exec "$here/placement.py" --load "$1" --seconds "$3" --round-trip-us "$round_trip_us" \
    --mix "$here/../crates/cli/mixes/$2.json" \
    random='{"policy": "random", "order": "first_come", "open_tasks_per_slot": 64, "max_hand_backs": 0}' \
    least_work='{"order": "first_come", "open_tasks_per_slot": 64, "max_hand_backs": 0}' \
    least_left='{"open_tasks_per_slot": 64, "max_hand_backs": 0}' \
    hand_back='{"open_tasks_per_slot": 64}' \
    single='{"open_tasks_per_slot": 1}'
