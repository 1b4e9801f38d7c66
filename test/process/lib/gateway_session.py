#!/usr/bin/env python3
"""Runs teaselfold-gateway against stand-ins of the prepared platform and checks outcomes. Usage: gateway_session.py <bin>"""
import http.client
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

from prepared_platform import Endpoint, Store, configuration, record

LONGEST_WAIT_S = 20
KEY = "key-a"


def require(what, is_true):
    print(("ok: " if is_true else "FAILED: ") + what, flush=True)
    if not is_true:
        sys.exit(1)


def wait_until(what, check):
    end = time.monotonic() + LONGEST_WAIT_S
    while time.monotonic() < end:
        if check():
            return require(what, True)
        time.sleep(0.05)
    require(what, False)


def free_address(kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


class Gateway:
    def __init__(self, binaries, store, instance="gateway-1", zone="north", more_settings=None):
        self.callers, self.status, self.metrics = (free_address(socket.SOCK_STREAM) for _ in range(3))
        settings = {"instance": instance, "zone": zone, "callers": self.callers, "readiness": self.status,
                    "metrics": self.metrics, "peers": free_address(socket.SOCK_DGRAM), "store": store.address, **(more_settings or {})}
        self.file = tempfile.NamedTemporaryFile("w", suffix=".yaml")
        self.file.write("".join("%s: \"%s\"\n" % item for item in settings.items()))
        self.file.flush()
        self.log = tempfile.NamedTemporaryFile("w+")
        self.program = os.path.join(binaries, "teaselfold-gateway")
        self.start()

    def start(self):
        self.process = subprocess.Popen([self.program, "--config", self.file.name], stdout=self.log, stderr=self.log)

    def logged(self):
        with open(self.log.name) as log:
            return log.read()

    def get(self, address, path):
        try:
            connection = http.client.HTTPConnection(address, timeout=5)
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except OSError:
            return 0, ""

    def is_ready(self):
        return self.get(self.status, "/v1/readyz")[0] == 200

    def connect(self):
        return http.client.HTTPConnection(self.callers, timeout=LONGEST_WAIT_S)

    def post(self, path, body=b"x", key=KEY, connection=None, chunked=False, prompt=""):
        connection = connection or self.connect()
        headers = {"Host": "host.example", "X-Teaselfold-Attempt-Id": "id" + str(time.monotonic_ns()),
                   "X-Teaselfold-Deadline-Ms": "15000", "X-Api-Key": key, "X-Teaselfold-Tenant": "forged",
                   "X-Teaselfold-Token-Usage": "1000,400"}
        if prompt:
            headers["X-Teaselfold-Prefix-Hash"] = prompt
        connection.request("POST", path, iter([body]) if chunked else body, headers, encode_chunked=chunked)
        return connection.getresponse()

    def send_raw(self, data):
        with socket.create_connection(self.callers.split(":"), timeout=LONGEST_WAIT_S) as connection:
            connection.sendall(data)
            received = b""
            while True:
                chunk = connection.recv(65536)
                if not chunk:
                    return received
                received += chunk


def check_plain_calls(gateway, plain):
    answer = gateway.post("/write/1", b"hello", chunked=True)
    require("a chunked call is answered by its endpoint", answer.read() == b"from plain-1 hello" and answer.status == 200)
    require("the endpoint's signature is passed on", answer.headers["X-Teaselfold-Server-Signature"] == "signed-by-plain-1")
    seen = plain.ran[-1][3]
    require("the endpoint gets the team and not the key",
            seen.get("X-Teaselfold-Tenant") == "team-a" and "X-Api-Key" not in seen)
    persistent = gateway.connect()
    statuses = []
    for _ in range(3):
        answer = gateway.post("/write/2", connection=persistent)
        answer.read()
        statuses.append(answer.status)
    require("a connection is reused for further calls", statuses == [200] * 3)


def check_ambiguous_requests(gateway, plain):
    before = len(plain.ran)
    ambiguous = (b"POST /write/3 HTTP/1.1\r\nHost: host.example\r\nX-Api-Key: key-a\r\nContent-Length: 4\r\n"
                 b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /write/4 HTTP/1.1\r\nHost: host.example\r\n\r\n")
    require("a request with two body lengths is refused", gateway.send_raw(ambiguous).startswith(b"HTTP/1.1 400"))
    require("malformed input is refused", gateway.send_raw(b"\x00\x01\x02\r\n\r\n").startswith(b"HTTP/1.1 400"))
    require("a header over the limit is refused", gateway.send_raw(
        b"GET / HTTP/1.1\r\nX: " + b"a" * 9000 + b"\r\n\r\n").startswith(b"HTTP/1.1 431"))
    require("no refused request reached the endpoint", len(plain.ran) == before)
    require("an unknown route is not found", gateway.post("/nowhere/").status == 404)
    require("an unknown key is refused", gateway.post("/write/5", key="other").status == 401)


def check_stream_failover(gateway, engines):
    for engine in engines:
        engine.crash_event = 9 if not any(other.ran for other in engines) else None
    answer = gateway.post("/draft/1")
    body = b""
    while True:
        chunk = answer.read1(65536)
        if not chunk:
            break
        body += chunk
        first = [engine for engine in engines if engine.ran][0]
        for engine in engines:
            engine.crash_event = 9 if engine is first else None
    ids = [int(line[4:]) for line in body.decode().splitlines() if line.startswith("id: ")]
    require("a stream fails over to the replica, with each event once and in order", ids == list(range(1, 21)))
    require("both engines ran the stream", sum(1 for engine in engines if engine.ran) == 2)
    for engine in engines:
        engine.crash_event = None


def check_caller_disconnect(gateway, engines):
    for engine in engines:
        engine.events = 2000
    connection = gateway.connect()
    gateway.post("/draft/2", connection=connection).read1(64)
    require("one engine streams", sum(engine.streams for engine in engines) == 1)
    connection.sock and connection.sock.close()
    connection.close()
    wait_until("the stream of the engine ends when the caller disconnects",
               lambda: sum(engine.streams for engine in engines) == 0)


def check_draining_endpoints(gateway, store, plain, other):
    store.put("servers", "plain-2", record(other, "plain"))
    wait_until("a new endpoint gets work", lambda: gateway.post("/write/6").read().startswith(b"from plain-2"))
    store.put("servers", "plain-1", record(plain, "plain", "draining"))
    time.sleep(1)
    before = len(plain.ran)
    for _ in range(10):
        gateway.post("/write/7").read()
    require("a draining endpoint gets no more work", len(plain.ran) == before)
    store.put("op", "evacuate/north", {})
    wait_until("a zone that is out gets no work", lambda: gateway.post("/write/8").status == 503)
    store.delete("op", "evacuate/north")
    wait_until("a zone that is back gets work", lambda: gateway.post("/write/9").status == 200)


def check_store_outage(gateway, store):
    store.is_down = True
    wait_until("the gateway becomes not ready without the store", lambda: not gateway.is_ready())
    require("keys are not accepted during the outage", gateway.post("/write/10").status == 503)
    store.is_down = False
    wait_until("the gateway is ready again with the store", gateway.is_ready)
    store.put("op", "config", configuration(2, ["key-b"]))
    wait_until("a revoked key is refused", lambda: gateway.post("/write/11").status == 401)
    require("the new key is accepted", gateway.post("/write/12", key="key-b").status == 200)


def check_restored_store(gateway, store, third):
    rows, version = store.copy()
    copy = {name: row for name, row in rows.items() if name[0] != "gateways"}, version
    for number in range(40):
        store.put("servers", "plain-2-load", {"seqNo": number})
    time.sleep(0.5)
    store.is_down = True
    time.sleep(0.7)
    store.restore(copy)
    store.is_down = False
    store.put("op", "config", configuration(3, ["key-c"]))
    store.put("servers", "plain-3", record(third, "plain"))
    wait_until("a key revoked after the store came back from a copy is refused",
               lambda: gateway.post("/write/13", key="key-b").status == 401)
    wait_until("an endpoint registered after it gets work",
               lambda: gateway.post("/write/14", key="key-c").read().startswith(b"from plain-3"))
    store.delete("servers", "plain-3")
    time.sleep(1)
    before = len(third.ran)
    for _ in range(10):
        gateway.post("/write/15", key="key-c").read()
    require("an endpoint removed after it gets no work", len(third.ran) == before)
    wait_until("the gateway's own row is written again", lambda: any(name[0] == "gateways" for name in list(store.rows)))
    require("the log names the era", "store_restored" in gateway.logged())
    store.put("op", "config", configuration(4, ["key-b"]))
    wait_until("the key is accepted again", lambda: gateway.post("/write/16", key="key-b").status == 200)


def check_planned_stop(gateway):
    connection = gateway.connect()
    connection.request("POST", "/slow/1", b"x", {"Host": "host.example", "X-Teaselfold-Attempt-Id": "slow",
                                                  "X-Teaselfold-Deadline-Ms": "15000", "X-Api-Key": "key-b"})
    time.sleep(0.3)
    gateway.process.send_signal(signal.SIGTERM)
    wait_until("a stopping gateway is not ready", lambda: not gateway.is_ready())
    require("the last request of a stopping gateway is answered", connection.getresponse().status == 200)
    require("a stopped gateway exits with status 0", gateway.process.wait(LONGEST_WAIT_S) == 0)


def main(binaries):
    store = Store()
    gateway = Gateway(binaries, store)
    try:
        wait_until("the gateway runs but is not ready without a configuration",
                   lambda: gateway.get(gateway.status, "/v1/readyz")[0] == 503)
        plain, other = Endpoint("plain-1"), Endpoint("plain-2")
        engines = [Endpoint("engine-1"), Endpoint("engine-2")]
        store.put("servers", "plain-1", record(plain, "plain"))
        store.put("servers", "broken", b"not json")
        for engine in engines:
            store.put("servers", engine.name, record(engine, "engines"))
        store.put("op", "config", configuration(1, [KEY]))
        wait_until("the gateway is ready with a configuration", gateway.is_ready)
        check_plain_calls(gateway, plain)
        check_ambiguous_requests(gateway, plain)
        check_stream_failover(gateway, engines)
        check_caller_disconnect(gateway, engines)
        check_draining_endpoints(gateway, store, plain, other)
        check_store_outage(gateway, store)
        check_restored_store(gateway, store, Endpoint("plain-3"))
        require("metrics show calls by team", 'team="team-a"' in gateway.get(gateway.metrics, "/metrics")[1])
        check_planned_stop(gateway)
    except BaseException:
        sys.stdout.write("".join(gateway.logged().splitlines(True)[-60:]))
        raise
    finally:
        if gateway.process.poll() is None:
            gateway.process.kill()
    print("gateway session: all checks passed")


if __name__ == "__main__":
    main(sys.argv[1])
