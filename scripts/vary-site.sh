#!/usr/bin/env bash
# vary-site.sh SITE KIND: prints a site file of the users' bench with one thing made far larger or
# smaller, to hunt on deployments of other sizes. Keep the result beside the site's other files.
#   few      a machine in each zone, with a whole core
#   many     fifteen small machines in each zone: 0.12 of a core, 88 MB, 30 Mbit/s
#   narrow   model replicas of 6 slots instead of 96
#   frugal   a store of 150 writes and 600 reads a second
set -eu
site=${1:?the site file}
kind=${2:?few, many, narrow or frugal}
machine='^  [{] class = "front", cpu_share = [0-9.]+, cores = [0-9]+, memory_mb = [0-9]+'
case $kind in
few) sed -E "/$machine/ { s/cpu_share = [0-9.]+/cpu_share = 1.0/; s/count = [0-9]+/count = 1/ }" "$site" ;;
many) sed -E "/$machine/ { s/cpu_share = [0-9.]+/cpu_share = 0.12/; s/memory_mb = [0-9]+/memory_mb = 88/
        s/link_mbps = [0-9.]+/link_mbps = 30.0/; s/count = [0-9]+/count = 15/ }" "$site" ;;
narrow) sed -E '/model = "llm"/ { s/ slots = [0-9]+/ slots = 6/ }' "$site" ;;
frugal) sed -E 's/^writes_per_s = .*/writes_per_s = 150.0/; s/^reads_per_s = .*/reads_per_s = 600.0/' "$site" ;;
*) echo "vary-site.sh: no kind $kind" >&2; exit 2 ;;
esac
