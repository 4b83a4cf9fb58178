#!/usr/bin/env bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/boragelever.jar ] && [ -f review/out/Main.class ] || { echo "build first: the deploy file's build, review/build.sh" >&2; exit 2; }
exec java -Xmx256m -cp review/out Main SmallChunks review/2
