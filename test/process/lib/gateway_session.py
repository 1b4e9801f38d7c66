#!/usr/bin/env python3
"""Runs teaselfold-gateway against stand-ins of the prepared platform and judges outcomes. Usage: gateway_session.py <bin>"""
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


def require(what, holds):
    print(("ok: " if holds else "FAILED: ") + what, flush=True)
    if not holds:
        sys.exit(1)


def until(what, check):
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
    def __init__(self, binaries, store):
        self.callers, self.status, self.metrics = (free_address(socket.SOCK_STREAM) for _ in range(3))
        settings = {"instance": "gateway-1", "zone": "north", "callers": self.callers, "readiness": self.status,
                    "metrics": self.metrics, "peers": free_address(socket.SOCK_DGRAM), "store": store.address}
        self.file = tempfile.NamedTemporaryFile("w", suffix=".yaml")
        self.file.write("".join("%s: \"%s\"\n" % item for item in settings.items()))
        self.file.flush()
        self.log = tempfile.NamedTemporaryFile("w+")
        self.process = subprocess.Popen([os.path.join(binaries, "teaselfold-gateway"), "--config", self.file.name],
                                        stdout=self.log, stderr=self.log)

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

    def ask(self, path, body=b"x", key=KEY, connection=None, chunked=False):
        connection = connection or self.connect()
        headers = {"Host": "host.example", "X-Teaselfold-Attempt-Id": "id" + str(time.monotonic_ns()),
                   "X-Teaselfold-Deadline-Ms": "15000", "X-Api-Key": key, "X-Teaselfold-Tenant": "forged",
                   "X-Teaselfold-Token-Usage": "1000,400"}
        connection.request("POST", path, iter([body]) if chunked else body, headers, encode_chunked=chunked)
        return connection.getresponse()

    def raw(self, data):
        with socket.create_connection(self.callers.split(":"), timeout=LONGEST_WAIT_S) as connection:
            connection.sendall(data)
            received = b""
            while True:
                piece = connection.recv(65536)
                if not piece:
                    return received
                received += piece


def serves_plain_calls(gateway, plain):
    answer = gateway.ask("/write/1", b"hello", chunked=True)
    require("a chunked call is answered by its endpoint", answer.read() == b"from plain-1 hello" and answer.status == 200)
    require("the endpoint's signature is passed on", answer.headers["X-Teaselfold-Server-Signature"] == "signed-by-plain-1")
    seen = plain.ran[-1][3]
    require("the endpoint gets the team and not the key",
            seen.get("X-Teaselfold-Tenant") == "team-a" and "X-Api-Key" not in seen)
    kept = gateway.connect()
    statuses = []
    for _ in range(3):
        answer = gateway.ask("/write/2", connection=kept)
        answer.read()
        statuses.append(answer.status)
    require("a connection is kept for further calls", statuses == [200] * 3)


def refuses_what_is_ambiguous(gateway, plain):
    before = len(plain.ran)
    smuggled = (b"POST /write/3 HTTP/1.1\r\nHost: host.example\r\nX-Api-Key: key-a\r\nContent-Length: 4\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /write/4 HTTP/1.1\r\nHost: host.example\r\n\r\n")
    require("two lengths in one head are refused", gateway.raw(smuggled).startswith(b"HTTP/1.1 400"))
    require("garbage is refused", gateway.raw(b"\x00\x01\x02\r\n\r\n").startswith(b"HTTP/1.1 400"))
    require("a head beyond the limit is refused", gateway.raw(
        b"GET / HTTP/1.1\r\nX: " + b"a" * 9000 + b"\r\n\r\n").startswith(b"HTTP/1.1 431"))
    require("nothing of it ran", len(plain.ran) == before)
    require("an unknown route is not found", gateway.ask("/nowhere/").status == 404)
    require("an unknown key is refused", gateway.ask("/write/5", key="other").status == 401)


def streams_outlive_their_engine(gateway, engines):
    for engine in engines:
        engine.dies_at = 9 if not any(other.ran for other in engines) else None
    answer = gateway.ask("/draft/1")
    body = b""
    while True:
        piece = answer.read1(65536)
        if not piece:
            break
        body += piece
        first = [engine for engine in engines if engine.ran][0]
        for engine in engines:
            engine.dies_at = 9 if engine is first else None
    ids = [int(line[4:]) for line in body.decode().splitlines() if line.startswith("id: ")]
    require("a stream goes on at the replica, each event once and in order", ids == list(range(1, 21)))
    require("both engines ran it", sum(1 for engine in engines if engine.ran) == 2)
    for engine in engines:
        engine.dies_at = None


def callers_that_leave_end_their_work(gateway, engines):
    for engine in engines:
        engine.events = 2000
    connection = gateway.connect()
    gateway.ask("/draft/2", connection=connection).read1(64)
    require("an engine works", sum(engine.streams for engine in engines) == 1)
    connection.sock and connection.sock.close()
    connection.close()
    until("the engine's work ends when the caller leaves", lambda: sum(engine.streams for engine in engines) == 0)


def leaving_endpoints_get_nothing(gateway, store, plain, other):
    store.put("servers", "plain-2", record(other, "plain"))
    until("a new endpoint gets work", lambda: gateway.ask("/write/6").read().startswith(b"from plain-2"))
    store.put("servers", "plain-1", record(plain, "plain", "draining"))
    time.sleep(1)
    before = len(plain.ran)
    for _ in range(10):
        gateway.ask("/write/7").read()
    require("a draining endpoint gets nothing more", len(plain.ran) == before)
    store.put("op", "evacuate/north", {})
    until("a zone out of service gets nothing", lambda: gateway.ask("/write/8").status == 503)
    store.drop("op", "evacuate/north")
    until("a zone that is back gets work", lambda: gateway.ask("/write/9").status == 200)


def knowledge_grows_old(gateway, store):
    store.is_down = True
    until("without the store the gateway is not ready after a while", lambda: not gateway.is_ready())
    require("keys are not accepted then, truly", gateway.ask("/write/10").status == 503)
    store.is_down = False
    until("with the store it is ready again", gateway.is_ready)
    store.put("op", "config", configuration(2, ["key-b"]))
    until("a key that was taken away is refused", lambda: gateway.ask("/write/11").status == 401)
    require("the new key is accepted", gateway.ask("/write/12", key="key-b").status == 200)


def stops_in_order(gateway):
    connection = gateway.connect()
    connection.request("POST", "/slow/1", b"x", {"Host": "host.example", "X-Teaselfold-Attempt-Id": "slow",
                                                  "X-Teaselfold-Deadline-Ms": "15000", "X-Api-Key": "key-b"})
    time.sleep(0.3)
    gateway.process.send_signal(signal.SIGTERM)
    until("a stopping gateway is not ready", lambda: not gateway.is_ready())
    require("its last request is answered", connection.getresponse().status == 200)
    require("it ends by itself", gateway.process.wait(LONGEST_WAIT_S) == 0)


def main(binaries):
    store = Store()
    gateway = Gateway(binaries, store)
    try:
        until("the gateway is alive and not ready without a configuration",
              lambda: gateway.get(gateway.status, "/v1/readyz")[0] == 503)
        plain, other = Endpoint("plain-1"), Endpoint("plain-2")
        engines = [Endpoint("engine-1"), Endpoint("engine-2")]
        store.put("servers", "plain-1", record(plain, "plain"))
        store.put("servers", "broken", b"not json")
        for engine in engines:
            store.put("servers", engine.name, record(engine, "engines"))
        store.put("op", "config", configuration(1, [KEY]))
        until("it is ready with one", gateway.is_ready)
        serves_plain_calls(gateway, plain)
        refuses_what_is_ambiguous(gateway, plain)
        streams_outlive_their_engine(gateway, engines)
        callers_that_leave_end_their_work(gateway, engines)
        leaving_endpoints_get_nothing(gateway, store, plain, other)
        knowledge_grows_old(gateway, store)
        require("metrics show calls by team", 'team="team-a"' in gateway.get(gateway.metrics, "/metrics")[1])
        stops_in_order(gateway)
    except BaseException:
        gateway.log.seek(0)
        sys.stdout.write("".join(gateway.log.readlines()[-60:]))
        raise
    finally:
        if gateway.process.poll() is None:
            gateway.process.kill()
    print("gateway session: every step held")


if __name__ == "__main__":
    main(sys.argv[1])
