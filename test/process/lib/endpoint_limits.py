#!/usr/bin/env python3
"""Sends more requests than an endpoint's stated limit through several gateways. Usage: endpoint_limits.py <bin>"""
import signal
import sys
import threading
import time

from gateway_session import Gateway, require, wait_until
from prepared_platform import Endpoint, EndpointHandler, Store, configuration, record

GATEWAYS = 3
CALLERS_PER_GATEWAY = 4
REQUESTS_PER_S = 5
LIMIT = 4.5
# What rule LIMIT allows: in any such window, from the settling time after the limit was first named.
WINDOW_S = 4
SETTLING_S = 3
PROMPT_S = 0.3


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


class LimitedEndpoint(Endpoint):
    """An endpoint that names a limit, or another text in its place, in all its answers."""

    def __init__(self, name):
        self.limit = None
        self.arrivals = []
        super().__init__(name, handler=LimitedHandler)

    def arrivals_between(self, start, end):
        return [each for each in list(self.arrivals) if start <= each < end]

    def most_in_a_window(self, start, end):
        arrivals = self.arrivals_between(start, end)
        return max((sum(first <= each < first + WINDOW_S for each in arrivals) for first in arrivals), default=0)


class LimitedHandler(EndpointHandler):
    def signature_headers(self):
        limit = [] if self.owner.limit is None else [("Server-Limit", str(self.owner.limit))]
        return super().signature_headers() + limit

    def do_POST(self):
        self.owner.arrivals.append(time.monotonic())
        self.answer()


class Caller(threading.Thread):
    """Sends requests at a steady rate, whatever becomes of them."""

    def __init__(self, gateway, stopping):
        super().__init__(daemon=True)
        self.gateway, self.stopping = gateway, stopping
        # Per answer: when it came, how long it took, its status, its Retry-After
        self.answers = []

    def run(self):
        connection = None
        while not self.stopping.wait(1 / REQUESTS_PER_S):
            start = time.monotonic()
            try:
                connection = connection or self.gateway.connect()
                answer = self.gateway.post("/write/1", connection=connection)
                answer.read()
                self.answers.append((time.monotonic(), time.monotonic() - start, answer.status,
                                     answer.headers["Retry-After"]))
            except Exception:
                # The gateway restarts.
                connection = None


class Session:
    def __init__(self, binaries):
        self.store = Store()
        self.limited = LimitedEndpoint("plain-1")
        self.store.put("servers", "plain-1", record(self.limited, "plain"))
        self.store.put("op", "config", configuration(1, ["key-a"]))
        self.gateways = [Gateway(binaries, self.store, "gateway-%d" % number) for number in range(GATEWAYS)]
        for gateway in self.gateways:
            wait_until("a gateway is ready", gateway.is_ready)
        self.stopping = threading.Event()
        self.callers = [Caller(gateway, self.stopping) for gateway in self.gateways
                        for _ in range(CALLERS_PER_GATEWAY)]

    def answers_since(self, start):
        return [answer for caller in self.callers for answer in list(caller.answers) if answer[0] >= start]

    def check_limit(self, title, limit, start, end):
        most = self.limited.most_in_a_window(start, end)
        require("%s: %d requests in %d s, allowed %g" % (title, most, WINDOW_S, allowed(limit)),
                most <= allowed(limit))

    def play(self):
        for caller in self.callers:
            caller.start()
        time.sleep(1)
        start = self.name_limit(LIMIT, SETTLING_S + 8)
        self.check_limit("a limit of %g" % LIMIT, LIMIT, start + SETTLING_S, time.monotonic())
        got = len(self.limited.arrivals_between(start + SETTLING_S, start + SETTLING_S + 8))
        require("the endpoint gets at least half of what it takes (%d in 8 s)" % got, got >= 0.5 * LIMIT * 8)
        self.check_refusals(start + SETTLING_S)
        self.check_restart()
        self.check_other_endpoint()
        self.check_other_texts()
        self.check_end_of_limit()
        start = self.name_limit(0, SETTLING_S + 5)
        self.check_limit("a limit of 0", 0, start + SETTLING_S, time.monotonic())
        self.stopping.set()

    def name_limit(self, limit, time_s):
        self.limited.limit = limit
        start = time.monotonic()
        time.sleep(time_s)
        return start

    def check_refusals(self, start):
        refused = [answer for answer in self.answers_since(start) if answer[2] != 200]
        require("what the endpoint does not take is refused as not run (%d)" % len(refused),
                refused and all(status == 503 for _, _, status, _ in refused))
        require("it is refused at once", max(duration for _, duration, _, _ in refused) < PROMPT_S)
        require("callers are told when to come back", all(float(after or 0) > 0 for _, _, _, after in refused))

    def check_restart(self):
        start = time.monotonic()
        restarted = self.gateways[0]
        restarted.process.send_signal(signal.SIGTERM)
        restarted.process.wait()
        restarted.start()
        time.sleep(3)
        self.check_limit("a gateway restarts", LIMIT, start, time.monotonic())

    def check_other_endpoint(self):
        other = LimitedEndpoint("plain-2")
        self.store.put("servers", "plain-2", record(other, "plain"))
        wait_until("the other endpoint is found", lambda: other.arrivals)
        start = time.monotonic()
        time.sleep(WINDOW_S)
        answers = self.answers_since(start)
        served = sum(status == 200 for _, _, status, _ in answers)
        require("another endpoint gets what the limited one does not take (%d of %d served)" % (served, len(answers)),
                len(answers) > 100 and served >= 0.95 * len(answers))
        self.check_limit("with another endpoint", LIMIT, start, time.monotonic())
        self.store.delete("servers", "plain-2")

    def check_other_texts(self):
        for text in ("-1", "soon", "nan", "1e9", "0x10", "4,5"):
            self.limited.limit = text
            time.sleep(0.7)
        end = time.monotonic()
        self.check_limit("texts that are no numbers", LIMIT, end - WINDOW_S, end)

    def check_end_of_limit(self):
        start = self.name_limit(None, 2)
        got = len(self.limited.arrivals_between(start + 1, start + 2))
        require("a limit that is no longer named is forgotten (%d requests in the second after)" % got, got > 20)

    def stop(self):
        self.stopping.set()
        for gateway in self.gateways:
            gateway.process.kill()
            gateway.process.wait()


def main():
    session = Session(sys.argv[1])
    try:
        session.play()
    finally:
        session.stop()
    print("endpoint limits: all checks passed")


if __name__ == "__main__":
    main()
