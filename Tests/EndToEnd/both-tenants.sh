#!/usr/bin/env bash
# Runs both example customers on four instance processes: lookups, and bookings that are retried until they succeed while an instance
# is killed. By the servers' own logs, no booking may run twice, and every booking that succeeded must have run.
set -eu
. "$(dirname "$0")/cluster.sh"
answers=$(mktemp)
trap 'finish; rm -f "$answers"' EXIT
# A wrong credential, an unknown service and a missing key are rejected.
[ "$(call 1 moto-safi wrong histories stove-1 GET)" = 401 ] || fail "a wrong credential was accepted"
[ "$(call 1 moto-safi moto-safi-secret nothing stove-1 GET)" = 404 ] || fail "an unknown service was served"
[ "$(call 1 moto-safi moto-safi-secret histories "" GET)" = 400 ] || fail "a request without key was served"

for n in $(seq 1 60); do
    sleep 0.05
    if [ "$n" = 20 ]; then kill -KILL "$last"; fi
    id=$(new_request_id "$n")
    for attempt in 1 2 3; do
        if [ "$(call $(((n + attempt) % 3 + 1)) moto-safi moto-safi-secret bookings "household-$n" POST "$id")" = 200 ]; then
            echo "$id"
            break
        fi
    done
done >"$answers"
answered_count=$(wc -l <"$answers")
ran=$(requests_run $(seq 21100 21107))
twice=$(echo "$ran" | sort | uniq -d)
[ -z "$twice" ] || fail "bookings ran twice: $twice"
while read -r id; do
    echo "$ran" | grep -q "$id" || fail "answered but not run: $id"
done <"$answers"
[ "$answered_count" -ge 30 ] || fail "only $answered_count of 60 bookings were answered"
echo "bookings answered: $answered_count of 60, none twice"
echo "1 passed, 0 failed"
