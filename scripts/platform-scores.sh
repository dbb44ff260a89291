#!/usr/bin/env bash
# Plays the standard days of the deployments below and compares the worth of each day
# with docs/platform-scores.txt. It fails when a gate fails or a day has fallen by more
# than MAX_FALL.
#
#   BENCH   path of the bench
#   SITES   folder of the deployments
#   JOBS    processors to use; default 3
#   UPDATE  1 replaces docs/platform-scores.txt by the new figures
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?path of the bench}" "${SITES:?folder of the deployments}"
MAX_FALL=0.03 # The bench calls a smaller change noise.
deployments=(
  further/rota-commune
  further-grown/rota-commune-grown
  shifted/bline-qld-now-grown
  grown/bline-qld-grown
  grown/tmnc-notices-grown
  large/bline-qld-large
)
recorded=docs/platform-scores.txt
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
for deployment in "${deployments[@]}"; do
  "$BENCH" score "$SITES/$deployment.toml" --jobs "${JOBS:-3}" --why "regression run" >"$work/out" 2>&1 || failed=1
  if ! grep -q '^GATE passed' "$work/out"; then
    echo "$deployment: gate not passed"
    tail -n 40 "$work/out"
    failed=1
  fi
  # A line of a day: name, machines, score, worth, and more columns. Days that are
  # drawn anew in each run have no recorded figure.
  awk -v deployment="$(basename "$deployment")" \
    '$1 ~ /^(quiet|trouble|scale)-[0-9]+$/ && $2 ~ /^[0-9]+\/[0-9]+$/ { print deployment, $1, $4 }' "$work/out" >>"$work/new"
done
awk -v max_fall="$MAX_FALL" '
  NR == FNR { before[$1 " " $2] = $3; next }
  {
    day = $1 " " $2
    note = ""
    if (!(day in before)) note = "new"
    else if (before[day] - $3 > max_fall) { note = "FALLEN"; fallen = 1 }
    printf "%-24s %-10s %7s %7s %s\n", $1, $2, before[day], $3, note
  }
  END { exit fallen }
' "$recorded" "$work/new" || failed=1
if [ "${UPDATE:-0}" = 1 ]; then
  cp "$work/new" "$recorded"
fi
exit "$failed"
