#!/usr/bin/env bash
# Malformed requests, oversized heads, incomplete bodies, and pipelined and half-closed requests get a clear error or
# their own answers in order. The daemon keeps serving, also after random bytes on its inner listener.
TEST=callers BASE=19
. "$(dirname "$0")/fixture.sh"
startFleet sicil
trap '' PIPE
ROUTER=127.1.$NEAR.1

sendRaw() { # text [port]: sends the text, half-closes, and prints the reply
    exec 3<>"/dev/tcp/$ROUTER/${2:-8080}"
    printf '%b' "$1" >&3 || true # the daemon may close the connection before everything is sent
    timeout 5 cat <&3 || true
    exec 3<&- 3>&-
}
expectMatch() { # pattern reply
    if ! grep -q "$1" <<<"$2"; then
        echo "FAILED $TEST: no '$1' in: $2"
        exit 1
    fi
}
expectMatch "HTTP/1.1 400" "$(sendRaw 'this is not HTTP\r\n\r\n')"
expectMatch "HTTP/1.1 431" "$(sendRaw "GET /sicil/a HTTP/1.1\r\nLong: $(head -c 40000 /dev/zero | tr '\0' a)\r\n\r\n")"
expectMatch "HTTP/1.1 404" "$(sendRaw 'GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')"
expectMatch "open an operation" "$(sendRaw 'POST /sicil/a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n')"
request() { echo "GET /sicil/records/$1 HTTP/1.1\\r\\nHost: x\\r\\nMark: $1\\r\\n${2:-}\\r\\n"; }
pipelined=$(sendRaw "$(request first)$(request second)$(request third 'Connection: close\r\n')" | grep -a -o 'first:\|second:\|third:' | tr -d '\n')
expectMatch "^first:second:third:$" "$pipelined"
sendRaw "$(head -c 4000 /dev/urandom | od -An -v -tx1 | tr -d '\n' | sed 's/ /\\x/g')" 7000 >/dev/null
runCallers after --work "$LOOKUP" --rate 50 --connections 5 --seconds 1 --seed 16
expectAllComplete after
echo "passed $TEST"
