#!/usr/bin/env bash
# Builds everything and shows both deployments at their real size, emulated on this machine.
# Ends by itself; exit code 0 only if every step did what it says.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
build="${BUILD_DIR:-Build}"
cmake -S . -B "$build" -G Ninja > /dev/null
ninja -C "$build" -j "${JOBS:-$(nproc)}" fuchsiastepd fuchsiactl fuchsiaload fuchsialab platform-stand-in upstream-stand-in | tail -n 1
bin="$PWD/$build/bin"
work="$(mktemp -d)"
serve_pid=""

stop_fleet() {
    if [ -n "$serve_pid" ]; then
        # The fleet ends when the standard input of fuchsialab closes.
        exec {fleet_in}>&-
        wait "$serve_pid"
        serve_pid=""
    fi
}
trap 'stop_fleet; rm -rf "$work"' EXIT

step() {
    printf '\n== %s: %s\n' "$deployment" "$1"
}

# Prints one field of the instances: all, or those of a service.
addresses() {
    python3 -c '
import json, sys
file, field, service = sys.argv[1:4]
items = json.load(open(file))["instances"]
print("\n".join(i[field] for i in items if service in ("", i["service"])))' "$work/fleet.json" "$1" "${2:-}"
}

start_fleet() {
    rm -f "$work/in" "$work/out"
    mkfifo "$work/in" "$work/out"
    "$bin/fuchsialab" serve --plan "Base/$deployment/deployment.json" < "$work/in" > "$work/out" &
    serve_pid=$!
    exec {fleet_in}> "$work/in"
    head -n 1 "$work/out" > "$work/fleet.json"
    [ -s "$work/fleet.json" ] || { echo "the fleet did not start"; exit 1; }
    FUCHSIASTEP_PROXY="$(addresses control | head -n 3 | paste -sd,)"
    export FUCHSIASTEP_PROXY
}

# Selectors for the paths of fuchsiaload, beside those that the deployment declares.
write_load_selectors() {
    python3 - "$@" > "$work/load.json" << 'PYTHON'
import json, sys
selectors = [{"name": f"demo-load-{service}", "callers": {"name": "fuchsiaload"}, "service": service, "precedence": 1000}
             for service in sys.argv[1:]]
print(json.dumps({"selectors": selectors}))
PYTHON
}

load() {
    "$bin/fuchsiaload" --targets "$targets" --deadline-ms 5000 --require-answered 100 "$@"
}

runs_of() {
    curl -sf "http://$1/runs" | python3 -c 'import json, sys; print(json.load(sys.stdin)["total"])'
}

show() {
    deployment="$1" orders="$2" documents="$3"
    step "start the platform and the deployment"
    start_fleet
    echo "$(addresses proxy | wc -l) proxies in $(addresses data_centre | sort -u | paste -sd' ')"
    targets="$(addresses callers | sed 's|^|http://|' | paste -sd,)"

    step "apply the declarations and wait until every proxy holds them"
    "$bin/fuchsiactl" apply "Base/$deployment/declarations" --operator demo --comment "declarations" --wait
    write_load_selectors "$orders" "$documents"
    "$bin/fuchsiactl" apply "$work/load.json" --operator demo --comment "routes for the load generator" --wait

    step "lookups, orders and repeated orders to $orders, each in full"
    load --service "$orders" --mix lookup=70,order=20,repeat-order=10 --requests 2000 --concurrency 8
    step "documents from $documents"
    load --service "$documents" --mix document --requests 300 --concurrency 4

    step "change a label and see the fleet follow"
    "$bin/fuchsiactl" label service "$orders" season=winter --operator demo --comment "winter" --wait
    "$bin/fuchsiactl" status

    step "audit trail"
    "$bin/fuchsiactl" audit | tee "$work/audit"
    grep -q 'winter$' "$work/audit" || { echo "the change of the label is not in the audit trail"; exit 1; }

    step "drain one upstream under load: nothing in flight is cut off"
    local leaving upstream before
    leaving="$(addresses control "$orders" | tail -n 1)"
    upstream="$(addresses upstream_address "$orders" | tail -n 1)"
    targets="$(addresses callers "$documents" | sed 's|^|http://|' | paste -sd,)"
    before="$(runs_of "$upstream")"
    load --service "$orders" --mix lookup=80,order=20 --requests 0 --duration-s 8 --rate 300 --concurrency 32 &
    local load_pid=$!
    timeout 10 bash -c "while [ \"\$(curl -sf http://$upstream/runs | grep -o '\"total\" *: *[0-9]*' | grep -o '[0-9]*$')\" -le $((before + 5)) ]; do :; done"
    "$bin/fuchsiactl" drain --proxy "$leaving"
    wait "$load_pid"
    "$bin/fuchsiactl" status | tee "$work/status"
    grep -qE '^\S+ +\S+ +left ' "$work/status" || { echo "the drained proxy did not leave"; exit 1; }
    stop_fleet

    step "convergence time and control bytes"
    "$bin/fuchsialab" run --plan "Base/$deployment/deployment.json" --experiment convergence
}

show whitcombe order-desk catalogue
show cork stock-desk drawings
echo
echo "demo: everything above was so"
