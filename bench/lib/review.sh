#!/usr/bin/env bash
# usage: review.sh [--runs N] [CASE ...]
# Builds the stand-ins of the review and plays its cases, each so many times, against the program under target/. Prints
# how each run ended, and one JSON line. Ends with 1 if a rule was broken, otherwise with 2 if a case could not run.
set -euo pipefail
runs=1
if [[ ${1:-} == --runs ]]; then runs=$2; shift 2; fi
cases=("$@")
[[ ${#cases[@]} -gt 0 ]] || cases=(1 2 3 4 5 6 7 8)
if [[ ! -f target/sablehinge.jar ]]; then
    echo "review: target/sablehinge.jar is not built: mvn -q -DskipTests package" >&2
    exit 2
fi
review/build.sh
sh review/build-2.sh
held=0 broken=0 unplayed=0
log=$(mktemp)
trap 'rm -f "$log"' EXIT
printf '%4s %4s  %s\n' case run ended
for ((run = 1; run <= runs; run++)); do
    for one in "${cases[@]}"; do
        status=0
        "review/$one/run.sh" > "$log" 2>&1 || status=$?
        case $status in
            0) held=$((held + 1)) ended="the rule held" ;;
            1) broken=$((broken + 1)) ended="BROKEN" ;;
            *) unplayed=$((unplayed + 1)) ended="could not run (exit $status): $(tail -n 1 "$log")" ;;
        esac
        printf '%4s %4s  %s\n' "$one" "$run" "$ended"
    done
done
echo "{\"cases\":\"${cases[*]}\",\"runs\":$runs,\"held\":$held,\"broken\":$broken,\"could_not_run\":$unplayed}"
if ((broken > 0)); then exit 1; fi
if ((unplayed > 0)); then exit 2; fi
