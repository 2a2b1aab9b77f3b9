#!/usr/bin/env bash
# Starts the stand-ins and three daemons on loopback, runs programs through them, prints a summary.
set -eu
build=${1:?the build folder}
run=$(mktemp -d)
pids=""
# alive: whether any of the started processes still runs.
alive() {
    for p in $pids; do
        kill -0 "$p" 2>/dev/null && return 0
    done
    return 1
}
finish() {
    # shellcheck disable=SC2086
    kill $pids 2>/dev/null || true
    for _ in $(seq 100); do
        alive || break
        read -r -t 0.05 _ <> <(:) || true
    done
    # shellcheck disable=SC2086
    kill -KILL $pids 2>/dev/null || true
    [ -n "${KEEP_LOGS:-}" ] && cp "$run"/*.log "$KEEP_LOGS"/
    rm -rf "$run"
}
trap finish EXIT

# start NAME COMMAND...: runs the command with a port file and waits for it.
start() {
    local name=$1
    shift
    "$@" --port-file "$run/$name.port" 2>"$run/$name.log" &
    pids="$pids $!"
    for _ in $(seq 200); do
        [ -s "$run/$name.port" ] && return 0
        read -r -t 0.05 _ <> <(:) || true
    done
    echo "$name did not start:" >&2
    cat "$run/$name.log" >&2
    exit 1
}
address() { echo "127.0.0.1:$(cut -d' ' -f1 "$run/$1.port")"; }

start platform "$build/azurehill-standin" --role platform
platform=$(address platform)
n=0
for dc in riohacha valledupar maicao; do
    start "engine-$dc" "$build/azurehill-standin" --role engine --platform "$platform" \
        --name "story-$dc" --service story-model --data-centre "$dc"
done
start proof "$build/azurehill-standin" --role tool --platform "$platform" --name proof-1 \
    --service proof --data-centre riohacha
start library "$build/azurehill-standin" --role plain --platform "$platform" --name library-1 \
    --service library --data-centre valledupar

operator=$(printf operator-token | sha256sum | cut -d' ' -f1)
tenant=$(printf demo-token | sha256sum | cut -d' ' -f1)
entries=""
for dc in riohacha valledupar maicao; do
    start "daemon-$dc" "$build/azurehilld" --name "entry-$dc" --data-centre "$dc" \
        --platform "$platform" --inner-token inner-secret --operator-token-sha256 "$operator"
    entries="$entries,$(address "daemon-$dc")"
done
entries=${entries#,}

sed "s/@TENANT@/$tenant/" "$(dirname "$0")/demo-config.json" >"$run/config.json"
first=${entries%%,*}
"$build/azurehill-ctl" --daemon "$first" --token operator-token config apply "$run/config.json" >/dev/null

for entry in ${entries//,/ }; do
    ready=""
    for _ in $(seq 200); do
        if curl -fsS -o /dev/null "http://$entry/readyz" 2>/dev/null; then
            ready=1
            break
        fi
        read -r -t 0.05 _ <> <(:) || true
    done
    [ -n "$ready" ] || { echo "$entry is not ready" >&2; cat "$run"/daemon-*.log >&2; exit 1; }
done

"$build/azurehill-demo" --entries "$entries" --token demo-token \
    --engines "$(address engine-riohacha),$(address engine-valledupar),$(address engine-maicao)" \
    --tools "$(address proof),$(address library)"
