#!/usr/bin/env bash
# Checks every model of this folder exhaustively, with the checks that lines in the model's comments request:
#   check: pass FLAGS   no reachable state may violate an assertion
#   check: fail FLAGS   a mutation that must violate an assertion, which shows that the check can fail
# FLAGS are passed to spin. Needs spin and gcc; spin is installed from the system's packages if it is missing.
set -euo pipefail
cd "$(dirname "$0")"

hash_bits=24          # initial size of the checker's hash table, as log2 of its slots; the table grows
depth=10000000        # maximum search depth, in steps
jobs_at_once=3

if ! command -v spin >/dev/null; then
	echo "spec: installing spin with apt-get"
	if [ "$(id -u)" = 0 ]; then as_root=; else as_root=sudo; fi
	$as_root apt-get update -qq
	$as_root apt-get install -y -qq spin >/dev/null
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check MODEL EXPECTED FLAGS: prints one line, and fails if the verdict differs from EXPECTED.
check() {
	local model=$1 expected=$2 flags=$3 dir verdict
	dir=$(mktemp -d -p "$work")
	cp "$model" "$dir/"
	cd "$dir"
	# shellcheck disable=SC2086 # flags are words
	spin -a $flags "$model" >spin.log 2>&1 || { cat spin.log; return 1; }
	gcc -O2 -DSAFETY -DNOREDUCE -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c
	./pan -m"$depth" -w"$hash_bits" >pan.log 2>&1 || true
	verdict=incomplete
	if grep -q 'assertion violated' pan.log; then
		verdict=fail
	elif grep -q 'errors: 0' pan.log && ! grep -q 'not completed\|max search depth too small' pan.log; then
		verdict=pass
	fi
	echo "spec: $model $flags: $verdict (expected $expected), $(awk '/states, stored/ {print $1}' pan.log) states," \
		"$(grep -o 'assertion violated.*' pan.log | head -1)"
	[ "$verdict" = "$expected" ] || { cat pan.log; return 1; }
}

failed=0
running=0
for model in *.pml; do
	while read -r expected flags; do
		check "$model" "$expected" "$flags" &
		running=$((running + 1))
		if [ "$running" -ge "$jobs_at_once" ]; then
			wait -n || failed=1
			running=$((running - 1))
		fi
	done < <(grep -o 'check: .*' "$model" | cut -d' ' -f2-)
done
while [ "$running" -gt 0 ]; do
	wait -n || failed=1
	running=$((running - 1))
done
exit "$failed"
