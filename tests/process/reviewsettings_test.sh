#!/usr/bin/env bash
# The settings that the cases of the review give to their daemons still render from the product's template. Guards against
# cases that end without a result because the template uses a field or a form that they do not know.
set -euo pipefail
cd "$(dirname "$0")/../.."
OUT=$PWD/out/tests/reviewsettings
rm -rf "$OUT"
mkdir -p "$OUT"
OUT=$OUT PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins python3 - <<'EOF'
import json, os, types
import fleet

out = os.environ["OUT"]
record = types.SimpleNamespace(write=lambda line: None)
owner = types.SimpleNamespace(network="127.1.1", ports=7000, folder=out, record=record,
                              store=types.SimpleNamespace(address="127.1.1.100:7400"),
                              startProcess=lambda *arguments: types.SimpleNamespace(pid=0))
host = fleet.Host(owner, 1, "ost-a", "ost", "alpha")
try:
    host.start()
except KeyError as error:
    raise SystemExit("FAILED reviewsettings: the template uses the field %s, which the cases do not have" % error)
with open(os.path.join(out, host.name + ".json"), encoding="utf-8") as settings:
    json.load(settings)
EOF
echo "passed reviewsettings"
