#!/usr/bin/env bash
# Runs both example customers on four instance processes: lookups, and bookings that are retried until they succeed while an instance
# is killed. By the servers' own logs, no booking may run twice, and every booking that succeeded must have run.
set -eu
router="$1/Services/goldcrestwall"
standin="$1/StandIns/goldcrestwall-standin"
examples=$2
pids=()
answers=$(mktemp)
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -f "$answers"
}
trap finish EXIT
fail() { echo "$*"; echo "0 passed, 1 failed"; exit 1; }

"$standin" store --port=24100 --seconds=120 & pids+=($!)
for tenant in moto-safi tammeoja; do
    "$standin" backends --configuration="$examples/$tenant.json" --seconds=120 & pids+=($!)
done
sleep 0.5
boot_hash=$("$router" hash boot)
for i in 1 2 3 4; do
    "$router" serve --instance="entry-$i" --domain="d$i" --caller-address="127.0.0.1:2430$i" --peer-address="127.0.0.1:2431$i" \
        --operator-address="127.0.0.1:2432$i" --store=127.0.0.1:24100 --bootstrap-token-hash="$boot_hash" \
        --seeds=127.0.0.1:24311,127.0.0.1:24312 2>/dev/null & pids+=($!)
    last=$!
done
boot() { "$router" query --at=127.0.0.1:24321 --token=boot "$1"; }
wait_for() {
    for _ in $(seq 1 300); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.05
    done
    fail "timed out: $*"
}
all_joined() { [ "$(boot "show instances" | grep -c ' live ')" = 4 ]; }
in_force() { boot "is configuration of $1 in force" | grep -q ' yes '; }
wait_for all_joined
for tenant in moto-safi tammeoja; do
    boot "put configuration because \"test\" $(cat "$examples/$tenant.json")" >/dev/null || fail "configuration of $tenant refused"
done

call() { # instance customer secret service key method [id]
    curl -sS -o /dev/null -w '%{http_code}' -m 10 -X "$6" -H "Goldcrestwall-Customer: $2" -H "Authorization: Bearer $3" \
        -H "Goldcrestwall-Key: $5" -H 'Goldcrestwall-Timeout: 4000' ${7:+-H "Goldcrestwall-Request-Id: $7"} \
        "http://127.0.0.1:2430$1/$2/$4/item" 2>/dev/null || true
}
answered() { [ "$(call "$@")" = 200 ]; }
for i in 1 2 3 4; do
    wait_for answered "$i" moto-safi moto-safi-secret histories stove-1 GET
    wait_for answered "$i" tammeoja tammeoja-secret timetables class-1 GET
    wait_for answered "$i" tammeoja tammeoja-secret calendar "" GET
done
wait_for in_force moto-safi
# A wrong credential, an unknown service and a missing key are rejected.
[ "$(call 1 moto-safi wrong histories stove-1 GET)" = 401 ] || fail "a wrong credential was accepted"
[ "$(call 1 moto-safi moto-safi-secret nothing stove-1 GET)" = 404 ] || fail "an unknown service was served"
[ "$(call 1 moto-safi moto-safi-secret histories "" GET)" = 400 ] || fail "a request without key was served"

# A request id created before the dispatchers started to record ids cannot be distinguished from a retry.
sleep 2
for n in $(seq 1 60); do
    sleep 0.05
    if [ "$n" = 20 ]; then kill -KILL "$last"; fi
    hex=$(printf '%012x' "$(date +%s%3N)")
    id="${hex:0:8}-${hex:8:4}-7000-8000-$(printf '%012x' "$n")"
    for attempt in 1 2 3; do
        if [ "$(call $(((n + attempt) % 3 + 1)) moto-safi moto-safi-secret bookings "household-$n" POST "$id")" = 200 ]; then
            echo "$id"
            break
        fi
    done
done >"$answers"
answered_count=$(wc -l <"$answers")
ran=$(for port in $(seq 21100 21107); do curl -sS "http://127.0.0.1:$port/standin/log"; done | awk '$1 ~ /-7000-8000-/ {print $1}')
twice=$(echo "$ran" | sort | uniq -d)
[ -z "$twice" ] || fail "bookings ran twice: $twice"
while read -r id; do
    echo "$ran" | grep -q "$id" || fail "answered but not run: $id"
done <"$answers"
[ "$answered_count" -ge 30 ] || fail "only $answered_count of 60 bookings were answered"
echo "bookings answered: $answered_count of 60, none twice"
echo "1 passed, 0 failed"
