#!/usr/bin/env bash
# Runs stand-ins and three instances on loopback and demonstrates a lookup, a booking, an ownership query and a failover.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD_FOLDER:-build}
if [ ! -x "$build/Services/goldcrestwall" ]; then
    Meta/install-packages.sh
    cmake -S . -B "$build" -G Ninja
    cmake --build "$build"
fi
router="$build/Services/goldcrestwall"
standin="$build/StandIns/goldcrestwall-standin"
pids=()
declare -A instance_pid
logs=$(mktemp -d)
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    rm -rf "$logs"
}
trap finish EXIT

"$standin" store --port=20100 --seconds=120 & pids+=($!)
"$standin" backends --configuration=examples/moto-safi.json --seconds=120 & pids+=($!)
sleep 0.3
boot_hash=$("$router" hash demo-boot)
for i in 1 2 3; do
    started=$(date +%s%3N)
    curl -fsS -o /dev/null -X POST http://127.0.0.1:20100/v3/kv/put -d "{\"key\":\"$(printf 'platform/instances/entry-%s' "$i" | base64 -w0)\",
        \"value\":\"$(printf '{"startedAt":%s,"state":"live"}' "$started" | base64 -w0)\"}"
    "$router" serve --instance="entry-$i" --domain="pwani-$i" --caller-address="127.0.0.1:2030$i" --peer-address="127.0.0.1:2031$i" \
        --operator-address="127.0.0.1:2032$i" --store=127.0.0.1:20100 --bootstrap-token-hash="$boot_hash" \
        --seeds=127.0.0.1:20311,127.0.0.1:20312,127.0.0.1:20313 2>"$logs/entry-$i" & pids+=($!)
    instance_pid[$i]=$!
done

ask() { "$router" query --at="127.0.0.1:2032$1" --operator=asha --token=asha-token "$2"; }
call() {
    curl -sS -m 10 -H 'Goldcrestwall-Customer: moto-safi' -H 'Authorization: Bearer moto-safi-secret' -H 'Goldcrestwall-Timeout: 5000' "$@"
}
wait_for() {
    for _ in $(seq 1 200); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.05
    done
    echo "timed out: $*"
    return 1
}

echo "--- The operator puts the first configuration."
for i in 1 2 3; do wait_for curl -fsS "http://127.0.0.1:2032$i/health"; done
all_joined() { [ "$("$router" query --at=127.0.0.1:20321 --token=demo-boot "show instances" | grep -c ' live ')" = 3 ]; }
wait_for all_joined
"$router" query --at=127.0.0.1:20321 --token=demo-boot "put configuration because \"demonstration\" $(cat examples/moto-safi.json)"
in_force() { ask 1 "is configuration of moto-safi in force" | grep -q ' yes '; }
wait_for in_force
ask 1 "is configuration of moto-safi in force"
wait_for call -f -H 'Goldcrestwall-Key: stove-17' http://127.0.0.1:20301/moto-safi/histories/stoves/17

echo "--- A technician looks up a stove history through entry-1."
call -f -H 'Goldcrestwall-Key: stove-17' http://127.0.0.1:20301/moto-safi/histories/stoves/17
echo "--- A household books a repair visit through entry-2."
call -f -X POST -d 'visit on Tuesday' -H 'Goldcrestwall-Key: household-4' http://127.0.0.1:20302/moto-safi/bookings/visits
echo "--- Who owns the key, and why?"
ask 3 "who owns stove-17 of moto-safi/histories"

dispatcher=$(ask 3 "who owns stove-17 of moto-safi/histories" | sed -n 's/.*entry-\([123]\)#.*/\1/p' | head -n 1)
other=$((dispatcher % 3 + 1))
echo "--- entry-$dispatcher, which dispatches for that key, is killed. The key is asked for again at once through entry-$other."
kill -KILL "${instance_pid[$dispatcher]}"
before=$(date +%s%3N)
call -f -H 'Goldcrestwall-Key: stove-17' "http://127.0.0.1:2030$other/moto-safi/histories/stoves/17"
echo "answered after $(($(date +%s%3N) - before)) ms"
ask "$other" "who owns stove-17 of moto-safi/histories"
echo "--- The remaining instances stop as planned."
for i in 1 2 3; do
    if [ "$i" != "$dispatcher" ]; then kill -TERM "${instance_pid[$i]}"; fi
done
for i in 1 2 3; do
    if [ "$i" != "$dispatcher" ]; then wait "${instance_pid[$i]}" || true; tail -n 1 "$logs/entry-$i"; fi
done
echo "--- Done."
