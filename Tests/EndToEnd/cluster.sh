# Starts a store, the servers of both example customers and four instances, and waits until they serve. Sourced by the end-to-end tests, whose
# arguments are the build folder and the folder of the examples.
set -eu
router="$1/Services/goldcrestwall"
standin="$1/StandIns/goldcrestwall-standin"
examples=$2
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
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
call() { # instance customer secret service key method [id]; writes the whole response to the file $response, if that is set
    curl -sS -i -o "${response:-/dev/null}" -w '%{http_code}' -m 10 -X "$6" -H "Goldcrestwall-Customer: $2" -H "Authorization: Bearer $3" \
        -H "Goldcrestwall-Key: $5" -H 'Goldcrestwall-Timeout: 4000' ${7:+-H "Goldcrestwall-Request-Id: $7"} \
        "http://127.0.0.1:2430$1/$2/$4/item" 2>/dev/null || true
}
answered() { [ "$(call "$@")" = 200 ]; }
in_force() { boot "is configuration of $1 in force" | grep -q ' yes '; }
wait_for all_joined
for tenant in moto-safi tammeoja; do
    boot "put configuration because \"test\" $(cat "$examples/$tenant.json")" >/dev/null || fail "configuration of $tenant refused"
done

for i in 1 2 3 4; do
    wait_for answered "$i" moto-safi moto-safi-secret histories stove-1 GET
    wait_for answered "$i" tammeoja tammeoja-secret timetables class-1 GET
    wait_for answered "$i" tammeoja tammeoja-secret calendar "" GET
done
wait_for in_force moto-safi
# A request id created before the dispatchers started to record ids cannot be distinguished from a retry.
sleep 2
new_request_id() { # number
    local hex
    hex=$(printf '%012x' "$(date +%s%3N)")
    echo "${hex:0:8}-${hex:8:4}-7000-8000-$(printf '%012x' "$1")"
}
# The ids of the requests that the servers at these ports have run.
requests_run() { for port in "$@"; do curl -sS "http://127.0.0.1:$port/standin/log"; done | awk '$1 ~ /-7000-8000-/ {print $1}'; }
