# Runs a case: source it with the number of the case in $case_number. Starts the
# program of the deploy file's role with settings and logs in a temporary folder.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
program=$(sed -n 's/^run = "\([^" ]*\)"$/\1/p' deploy/system.toml | head -n 1)
stand_in=review/build/case-$case_number
if [ ! -x "$program" ] || [ ! -x "$stand_in" ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
export WORK GATEWAY=$PWD/$program RECORD=review/$case_number/record.txt
result=0
timeout --signal=KILL 115 "$stand_in" || result=$?
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
