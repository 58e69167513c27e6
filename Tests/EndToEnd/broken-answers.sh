#!/usr/bin/env bash
# Sends requests to servers that respond with a field whose name has a blank. A booking must get 502 at once and run once, a lookup must be served by
# another server, and nothing of such a response may reach the caller.
set -eu
. "$(dirname "$0")/cluster.sh"
response=$(mktemp)
trap 'finish; rm -f "$response"' EXIT
set_fault() { curl -sS "http://127.0.0.1:$1/standin/fault?$2"; }
expect_nothing_wrong() { ! grep -qi 'odd name\|wrong' "$response" || fail "passed on: $(cat "$response")"; }

for port in $(seq 21100 21107); do set_fault "$port" odd-field-name; done
for n in 1 2 3 4 5; do
    id=$(new_request_id "$n")
    started=$(date +%s%3N)
    status=$(call 1 moto-safi moto-safi-secret bookings "household-$n" POST "$id")
    waited=$(($(date +%s%3N) - started))
    [ "$status" = 502 ] || fail "a booking got $status: $(cat "$response")"
    [ "$waited" -lt 1000 ] || fail "a booking waited $waited ms of its time limit of 4,000 ms"
    grep -qi '^Goldcrestwall-Verdict: may-have-run' "$response" || fail "another verdict: $(cat "$response")"
    expect_nothing_wrong
    [ "$(requests_run $(seq 21100 21107) | grep -c "$id")" = 1 ] || fail "a booking did not run once"
done

faulty=21200
set_fault "$faulty" odd-field-name
runs_before=$(curl -sS "http://127.0.0.1:$faulty/standin/log" | wc -l)
for n in $(seq 1 60); do
    status=$(call $((n % 4 + 1)) moto-safi moto-safi-secret catalogue "" GET)
    [ "$status" = 200 ] || fail "a lookup got $status: $(cat "$response")"
    expect_nothing_wrong
    grep -q '/item' "$response" || fail "a lookup got no body: $(cat "$response")"
done
[ "$(curl -sS "http://127.0.0.1:$faulty/standin/log" | wc -l)" -gt "$runs_before" ] || fail "no lookup reached the server with the fault"
echo "1 passed, 0 failed"
