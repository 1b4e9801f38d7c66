#!/usr/bin/env python3
"""Sets crowds on a gateway whose limits are low. It lives, stays within them, and answers an ordinary caller while each
crowd stays connected. Usage: crowds_at_a_gateway.py <bin> [times the crowd's size] [case ...]"""
import http.client
import subprocess
import sys
import time

from crowd import MEGABYTE, Crowd, Footprint, allow_own_descriptors, limit_descriptors
from gateway_session import LONGEST_WAIT_S, Gateway, require, wait_until
from prepared_platform import Endpoint, Store, configuration, record

MEMORY_MB = 48
DESCRIPTORS = 512
# The platform keeps 200 descriptors of a process for files.
MOST_DESCRIPTORS = DESCRIPTORS - 200
BODY_BYTES = 4 * MEGABYTE
# So long that no crowd is sent away for its slowness alone.
PATIENCE_MS = 120000

FIELDS = b"Host: host.example\r\nX-Teaselfold-Attempt-Id: crowd\r\nX-Teaselfold-Deadline-Ms: 15000\r\n"


def request(path, key=b"key-a", method=b"POST", more=b"Content-Length: 0\r\n", body=b""):
    return method + b" " + path + b" HTTP/1.1\r\n" + FIELDS + b"X-Api-Key: " + key + b"\r\n" + more + b"\r\n" + body


class CrowdedGateway(Gateway):
    def __init__(self, binaries, store):
        limits = {"memory_limit_mb": MEMORY_MB, "descriptor_limit": DESCRIPTORS}
        known = subprocess.run([binaries + "/teaselfold-gateway", "--help"], capture_output=True, text=True).stdout
        super().__init__(binaries, store, more_settings={key: value for key, value in limits.items() if key in known})

    def start(self):
        self.process = subprocess.Popen([self.program, "--config", self.file.name], stdout=self.log, stderr=self.log,
                                        preexec_fn=limit_descriptors(DESCRIPTORS))

    def answers(self, body=b"ordinary"):
        try:
            answer = self.post("/write/ordinary", body)
            return answer.status == 200 and answer.read().endswith(body)
        except (OSError, http.client.HTTPException):
            return False


def refused_key(gateway, crowd, size):
    crowd.join(12 * size, request(b"/write/1", key=b"unknown") * 100, 400)
    crowd.press()


def no_route(gateway, crowd, size):
    crowd.join(12 * size, request(b"/nowhere/1") * 100, 400)
    crowd.press()


def mixed_kinds(gateway, crowd, size):
    kinds = (request(b"/nowhere/1", method=b"HEAD", more=b""),
             request(b"/write/1", key=b"unknown", more=b"Expect: 100-continue\r\nContent-Length: 4\r\n", body=b"body"),
             request(b"/write/1", key=b"unknown", more=b"Transfer-Encoding: chunked\r\n",
                     body=b"4;" + b"e" * 900 + b"\r\nbody\r\n0\r\nTrailer: t\r\n\r\n"),
             request(b"/write/1", more=b"Content-Length: 2000\r\n", body=b"x" * 2000))
    # The last kind is served; the crowd sends fewer of it, since the endpoint takes its time.
    crowd.join(12 * size, b"".join(kinds[:-1]) * 30 + kinds[-1], 200)
    crowd.press()


def bodies_never_complete(gateway, crowd, size):
    head = request(b"/write/1", more=b"Content-Length: %d\r\n" % BODY_BYTES)
    crowd.join(40 * size, head + b"b" * (BODY_BYTES - 1))
    crowd.press()


def bodies_complete_but_slow(gateway, crowd, size):
    head = request(b"/write/1", more=b"Content-Length: %d\r\n" % BODY_BYTES)
    crowd.join(40 * size, head + b"b" * BODY_BYTES)
    crowd.press(most=16384)


def bodies_in_small_chunks(gateway, crowd, size):
    head = request(b"/write/1", more=b"Transfer-Encoding: chunked\r\n")
    crowd.join(40 * size, head + (b"400;extension\r\n" + b"c" * 1024 + b"\r\n") * 4000)
    crowd.press()


def heads_that_never_end(gateway, crowd, size):
    crowd.join(250 * size, b"POST /write/1 HTTP/1.1\r\n" + b"Field: f\r\n" * 800)
    crowd.press(most=64)


def whole_answers_unread(gateway, crowd, size):
    body = b"a" * (BODY_BYTES // 4)
    crowd.join(60 * size, request(b"/write/1", more=b"Content-Length: %d\r\n" % len(body), body=body))
    crowd.press()


def idle_connections(gateway, crowd, size):
    crowd.join(600 * size, b"")
    crowd.press()


def trickling_connections(gateway, crowd, size):
    crowd.join(600 * size, b"POST /wr")
    crowd.press(most=1)


def metrics_unread(gateway, crowd, size):
    crowd.address = gateway.metrics
    crowd.join(300 * size, b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n" * 100)
    crowd.join(300 * size, b"G")
    crowd.press()


def readiness_unread(gateway, crowd, size):
    crowd.address = gateway.status
    crowd.join(300 * size, b"GET /v1/readyz HTTP/1.1\r\nHost: m\r\n\r\n" * 100)
    crowd.join(300 * size, b"GET /v1/readyz HTTP/1.1\r\n")
    crowd.press()


CASES = (refused_key, no_route, mixed_kinds, bodies_never_complete, bodies_complete_but_slow, bodies_in_small_chunks,
         heads_that_never_end, whole_answers_unread, idle_connections, trickling_connections, metrics_unread,
         readiness_unread)


def crowd_configuration():
    settings = configuration(1, ["key-a"])
    settings["limits"].update(maxBodyBytes=BODY_BYTES, headerTimeoutMs=PATIENCE_MS, idleTimeoutMs=PATIENCE_MS)
    return settings


class Case:
    def __init__(self, binaries, play, size):
        self.title, self.play, self.size = play.__name__.replace("_", " "), play, size
        self.store = Store()
        self.plain = Endpoint("plain-1")
        self.store.put("servers", "plain-1", record(self.plain, "plain"))
        self.store.put("op", "config", crowd_configuration())
        self.gateway = CrowdedGateway(binaries, self.store)
        self.footprint = Footprint(self.gateway.process)

    def run(self):
        """Returns what failed."""
        wait_until(self.title + ": the gateway is ready", self.gateway.is_ready)
        crowd = Crowd(self.gateway.callers, self.footprint)
        self.play(self.gateway, crowd, self.size)
        crowd.settle()
        checks = self.checks("beside the crowd")
        crowd.close()
        checks += self.checks("after the crowd") + [
            ("a body of the whole size is served", self.is_served(b"w" * BODY_BYTES))]
        alive = self.footprint.is_alive()
        peak = self.footprint.peak_memory_mb() if alive else 0
        if not alive:
            sys.stdout.write("".join(self.gateway.logged().splitlines(True)[-20:]))
        checks += [("the gateway lives", alive),
                   ("peak memory is %.0f MB of %d" % (peak, MEMORY_MB), peak < MEMORY_MB),
                   ("%d descriptors of %d" % (self.footprint.most_descriptors, MOST_DESCRIPTORS),
                    self.footprint.most_descriptors <= MOST_DESCRIPTORS)]
        for what, holds in checks:
            print("%s: %s: %s" % ("ok" if holds else "FAILED", self.title, what), flush=True)
        return [self.title + ": " + what for what, holds in checks if not holds]

    def is_served(self, body):
        """Asks again until the answer comes: requests are refused while the gateway still gets rid of the crowd."""
        end = time.monotonic() + LONGEST_WAIT_S
        while time.monotonic() < end and self.footprint.is_alive():
            if self.gateway.answers(body):
                return True
            time.sleep(0.1)
        return False

    def checks(self, when):
        self.footprint.look()
        return [("an ordinary request is answered " + when, self.is_served(b"ordinary")),
                ("the readiness address answers " + when, self.gateway.get(self.gateway.status, "/v1/readyz")[0] == 200)]

    def stop(self):
        if self.footprint.is_alive():
            self.gateway.process.kill()
        self.gateway.process.wait()
        self.store.http.close()
        self.plain.http.close()


def main(binaries, size, names):
    allow_own_descriptors()
    failures = []
    for play in CASES:
        if names and play.__name__ not in names:
            continue
        case = Case(binaries, play, size)
        try:
            failures += case.run()
        finally:
            case.stop()
    require("crowds at a gateway: %d checks failed" % len(failures), not failures)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 1, sys.argv[3:])
