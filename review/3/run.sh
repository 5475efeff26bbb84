#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$here/../bin/standin" ] && [ -x "$root/target/release/badgergauge" ] || {
  echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
}
exec "$here/../bin/standin" inventory "$root" "$here"
