#!/usr/bin/env python3
"""Rolls out versions of services through several gateways. Usage: rollout_session.py <bin>"""
import random
import sys
import threading
import time

from gateway_session import Gateway, require, wait_until
from prepared_platform import Endpoint, EndpointHandler, Store, configuration, record

GATEWAYS = 3
ENDPOINTS = 3
CALLERS = 6
REQUESTS_PER_CALLER_S = 4
WORK_S = 0.03
DURATION_S = 9
START_DELAY_S = 0.4
LATER_S = 4.5
EXPOSURE_PART, EXPOSURE_HEADROOM = 0.1, 50
ROLLBACK_S = 5
BAD_ANSWERS = 50


class Version:
    """Decides which answers of a version are bad: `fault` is given the endpoint and the path."""

    def __init__(self, fault=None, slow=1):
        self.fault, self.slow = fault, slow
        self.ordered_at = None

    def is_bad(self, endpoint, path):
        return bool(self.fault) and self.fault(self, endpoint, path)


def sometimes(part):
    return lambda version, endpoint, path: random.random() < part


def later(part):
    return lambda version, endpoint, path: time.monotonic() > version.ordered_at + LATER_S and random.random() < part


def under_load(version, endpoint, path):
    return endpoint.running >= 2 and random.random() < 0.9


def on_writes(version, endpoint, path):
    return path.startswith("/write") and random.random() < 0.6


VERSIONS = {"at-once": Version(sometimes(0.6)), "later": Version(later(0.7)), "slow": Version(sometimes(0.9), slow=6),
            "load": Version(under_load), "route": Version(on_writes), "sound": Version()}


class VersionedEndpoint(Endpoint):
    def __init__(self, name, version):
        self.version = version
        self.running = 0
        self.arrivals = []
        self.bad_answers = []
        super().__init__(name, handler=VersionedHandler)


class VersionedHandler(EndpointHandler):
    def do_POST(self):
        endpoint = self.owner
        endpoint.running += 1
        endpoint.arrivals.append(time.monotonic())
        is_bad = endpoint.version.is_bad(endpoint, self.path)
        time.sleep(WORK_S * (endpoint.version.slow if is_bad else 1))
        endpoint.running -= 1
        body = self.body()
        if is_bad:
            endpoint.bad_answers.append(time.monotonic())
        self.reply(500 if is_bad and endpoint.version.slow == 1 else 200, body, self.signature_headers())

    do_GET = do_POST


class Service:
    def __init__(self, store, name, version):
        self.store, self.name, self.version = store, name, version
        self.old = [VersionedEndpoint("%s-o%d" % (name, number), Version()) for number in range(ENDPOINTS)]
        self.new = [VersionedEndpoint("%s-n%d" % (name, number), version) for number in range(ENDPOINTS)]
        for endpoint in self.old:
            self.register(endpoint, "v1")
        self.cut = 0
        self.answers = []

    def register(self, endpoint, version):
        self.store.put("servers", endpoint.name, {**record(endpoint, self.name), "version": version})

    def order(self):
        self.ordered_at = self.version.ordered_at = time.monotonic()
        self.store.put("op", "rollout/" + self.name, {"service": self.name, "to": "v2", "durationS": DURATION_S})
        threading.Timer(START_DELAY_S, lambda: [self.register(endpoint, "v2") for endpoint in self.new]).start()
        threading.Thread(target=self.operate, daemon=True).start()

    def state(self):
        return (self.store.value("status", "rollout/" + self.name) or {}).get("state")

    def operate(self):
        """Stops the endpoints that the state excludes, as the platform does."""
        while self.state() not in ("completed", "reverted"):
            time.sleep(0.01)
        self.decided_at = time.monotonic()
        if self.state() == "completed":
            self.cut = sum(endpoint.running for endpoint in self.old)
            for endpoint in self.old:
                self.store.delete("servers", endpoint.name)

    def arrivals(self, endpoints, until):
        return [at for endpoint in endpoints for at in list(endpoint.arrivals) if self.ordered_at <= at <= until]

    def check(self, expected):
        name = self.name
        deadline = self.ordered_at + DURATION_S
        require("%s: %s, %.1f s after the order" % (name, self.state(), self.decided_at - self.ordered_at),
                self.state() == expected and self.decided_at <= deadline)
        require("%s: the state names the version" % name,
                self.store.value("status", "rollout/" + name)["to"] == "v2")
        excluded = self.old if expected == "completed" else self.new
        late = self.arrivals(excluded, time.monotonic())
        require("%s: no request after the end" % name, all(at < self.decided_at + 1 for at in late))
        require("%s: %d requests in progress were cut" % (name, self.cut), self.cut == 0)
        if expected == "reverted":
            self.check_exposure(deadline)

    def check_exposure(self, deadline):
        total, new = len(self.arrivals(self.old + self.new, deadline)), len(self.arrivals(self.new, deadline))
        require("%s: %d of %d requests reached the bad version" % (self.name, new, total),
                new <= EXPOSURE_PART * total + EXPOSURE_HEADROOM)
        bad = sorted(at for endpoint in self.new for at in endpoint.bad_answers)
        last = max(self.arrivals(self.new, time.monotonic()), default=0)
        require("%s: %d bad answers" % (self.name, len(bad)),
                len(bad) < BAD_ANSWERS or last <= bad[BAD_ANSWERS - 1] + ROLLBACK_S)


class Caller(threading.Thread):
    def __init__(self, session, service):
        super().__init__(daemon=True)
        self.session, self.service = session, service

    def run(self):
        while not self.session.stopping.wait(1 / REQUESTS_PER_CALLER_S):
            path = random.choice(["/write-%s/1", "/read-%s/1"]) % self.service.name
            gateway = random.choice(self.session.gateways)
            try:
                answer = gateway.post(path)
                answer.read()
                self.service.answers.append(answer.status)
            except OSError:
                # The gateway was killed.
                pass


def configuration_of(services):
    base = configuration(1, ["key-a"])
    template = base["routes"][0]
    base["routes"] = [{**template, "name": "%s-%s" % (kind, service.name), "prefix": "/%s-%s/" % (kind, service.name),
                       "service": service.name} for service in services for kind in ("write", "read")]
    base["services"] = [{"name": service.name, "healthPath": "/healthz", "maxConns": 50} for service in services]
    return base


class Session:
    def __init__(self, binaries):
        self.store = Store()
        self.services = {name: Service(self.store, name, version) for name, version in VERSIONS.items()}
        self.outage = Service(self.store, "outage", Version(later(0.8)))
        self.killing = Service(self.store, "killing", Version())
        everything = [*self.services.values(), self.outage, self.killing]
        self.store.put("op", "config", configuration_of(everything))
        self.gateways = [Gateway(binaries, self.store, "gateway-%d" % number) for number in range(GATEWAYS)]
        for gateway in self.gateways:
            wait_until("a gateway is ready", gateway.is_ready)

    def call(self, services):
        self.stopping = threading.Event()
        self.callers = [Caller(self, service) for service in services for _ in range(CALLERS)]
        for caller in self.callers:
            caller.start()
        time.sleep(1)

    def stop_calling(self):
        self.stopping.set()
        for caller in self.callers:
            caller.join()

    def play(self):
        self.call(self.services.values())
        for service in self.services.values():
            service.order()
        time.sleep(DURATION_S + 1)
        self.stop_calling()
        for name, service in self.services.items():
            service.check("completed" if name == "sound" else "reverted")
        self.play_disruptions()

    def play_disruptions(self):
        """The store is down at one verdict, and a gateway is killed shortly before a state is written."""
        self.call([self.outage, self.killing])
        self.outage.order()
        time.sleep(LATER_S - 0.5)
        self.store.is_down = True
        time.sleep(2.5)
        before = len(self.outage.arrivals(self.outage.new, time.monotonic()))
        require("the state waits for the store", self.outage.state() == "in_progress")
        time.sleep(0.5)
        require("the bad version gets nothing meanwhile",
                len(self.outage.arrivals(self.outage.new, time.monotonic())) == before)
        self.store.is_down = False
        wait_until("reverted once the store is back", lambda: self.outage.state() == "reverted")
        time.sleep(0.5)
        self.outage.check_exposure(self.outage.ordered_at + DURATION_S)
        self.killing.order()
        time.sleep(DURATION_S - 1)
        self.gateways.pop().process.kill()
        time.sleep(2)
        self.stop_calling()
        self.killing.check("completed")


def main():
    session = Session(sys.argv[1])
    try:
        session.play()
    finally:
        for gateway in session.gateways:
            gateway.process.kill()


main()
