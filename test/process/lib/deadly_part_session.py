#!/usr/bin/env python3
"""Sends prompts with a part that crashes engines to several gateways, beside harmless prompts of the same caller with
the same first part, and checks what callers and engines see. Usage: deadly_part_session.py <bin>"""
import http.client
import itertools
import sys
import threading
import time
from dataclasses import dataclass

from gateway_session import Gateway, require, wait_until
from prepared_platform import CrashingEngine, Store, configuration

ZONES_OF_GATEWAYS = ["north", "north", "south"]
ZONES_OF_ENGINES = ["north", "north", "north", "south", "south", "south"]
EVENTS = 10
FIRST_PART = "5c1e:800"
DEADLY_PART = "dead"
HARMLESS_INTERVAL_S = 0.15
DEADLY_INTERVALS_S = [0.7, 0.9, 1.1]
# The limits that the platform states for parts that crash engines.
CONTACT_S = 3
COUNTED_CRASHES = 5
MAX_LATE_ARRIVALS = 3
MIN_SHARE_ANSWERED = 0.5
MIN_HARMLESS_REQUESTS = 20
# Requests that show what a gateway does with a kind of prompt.
MIN_REQUESTS_PER_GATEWAY = 5


@dataclass
class Outcome:
    prompt: str
    began_at: float
    status: int = 0
    retry_after: float = 0
    is_whole: bool = False

    def is_refused(self):
        return self.status == 503 and self.retry_after > 0


class Caller:
    """Sends requests to one gateway, one after the other, until it is stopped."""

    numbers = itertools.count(1)

    def __init__(self, gateway, shared_parts, interval):
        self.gateway = gateway
        self.shared_parts = shared_parts
        self.interval = interval
        self.outcomes = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopping.wait(self.interval):
            self.send()

    def send(self):
        outcome = Outcome("%s,%x:250" % (self.shared_parts, next(self.numbers)), time.monotonic())
        try:
            answer = self.gateway.post("/draft/1", outcome.prompt.encode(), prompt=outcome.prompt)
            outcome.status = answer.status
            outcome.retry_after = float(answer.headers.get("Retry-After", 0))
            events = [line for line in answer.read().decode().splitlines() if line.startswith("id: ")]
            outcome.is_whole = answer.status == 200 and events == ["id: %d" % (index + 1) for index in range(EVENTS)]
        except (OSError, http.client.HTTPException):
            pass  # The response broke off.
        self.outcomes.append(outcome)

    def stop(self):
        self.stopping.set()
        self.thread.join()


def since(start, callers):
    return [outcome for caller in callers for outcome in caller.outcomes if outcome.began_at >= start]


class Session:
    def __init__(self, binaries):
        self.store = Store()
        self.store.put("op", "config", configuration(1, ["key-a"]))
        self.engines = [CrashingEngine("engine-%d" % number, zone, self.store, EVENTS, DEADLY_PART)
                        for number, zone in enumerate(ZONES_OF_ENGINES, 1)]
        self.gateways = [Gateway(binaries, self.store, "gateway-%d" % number, zone)
                         for number, zone in enumerate(ZONES_OF_GATEWAYS, 1)]
        self.harmless = []
        self.deadly = []

    def send_harmless(self, gateway):
        self.harmless.append(Caller(gateway, FIRST_PART, HARMLESS_INTERVAL_S))

    def send_deadly(self, gateway, interval):
        self.deadly.append(Caller(gateway, FIRST_PART + "," + DEADLY_PART + ":410", interval))

    def counted_crash(self):
        """Returns when the fifth engine crashed, or the last one if there were fewer."""
        crashes = sorted(crash for engine in self.engines for crash in engine.crashes)[:COUNTED_CRASHES]
        return crashes[-1] if crashes else float("inf")

    def await_gateways(self):
        wait_until("all gateways are ready", lambda: all(gateway.is_ready() for gateway in self.gateways))
        listed = "members_listed count=%d " % len(self.gateways)
        wait_until("all gateways know each other", lambda: all(listed in gateway.logged() for gateway in self.gateways))

    def crash_engines(self):
        """Returns the time of the counted crash, once requests have been sent that show how the gateways reacted."""
        for gateway in self.gateways:
            self.send_harmless(gateway)
        wait_until("harmless prompts are answered", lambda: all(
            sum(outcome.is_whole for outcome in caller.outcomes) >= MIN_REQUESTS_PER_GATEWAY
            for caller in self.harmless))
        for gateway, interval in zip(self.gateways, DEADLY_INTERVALS_S):
            self.send_deadly(gateway, interval)
        wait_until("prompts were sent after the counted crash", lambda: (
            len(since(self.counted_crash() + 2 * CONTACT_S, self.harmless)) >= MIN_HARMLESS_REQUESTS
            and all(len(since(self.counted_crash() + CONTACT_S, [caller])) >= MIN_REQUESTS_PER_GATEWAY
                    for caller in self.deadly)))
        return self.counted_crash()

    def restart_gateway(self):
        """Returns the outcomes of deadly prompts at a restarted gateway that got none before the contact time."""
        gateway = self.gateways[0]
        for caller in self.harmless[0], self.deadly[0]:
            caller.stop()
        gateway.process.kill()
        gateway.process.wait()
        gateway.start()
        wait_until("the restarted gateway is ready", gateway.is_ready)
        self.send_harmless(gateway)
        time.sleep(CONTACT_S)
        self.send_deadly(gateway, DEADLY_INTERVALS_S[0])
        outcomes = self.deadly[-1].outcomes
        wait_until("deadly prompts were sent to the restarted gateway",
                   lambda: len(outcomes) >= MIN_REQUESTS_PER_GATEWAY)
        return outcomes

    def check(self, crash, restarted):
        for caller in self.deadly + self.harmless:
            caller.stop()
        arrivals = [arrival for engine in self.engines for arrival in engine.deadly_requests]
        reached = {prompt for _, prompt in arrivals}
        delays = [at - crash for at, _ in arrivals]
        late = sum(delay > CONTACT_S for delay in delays)
        deadly = since(crash + CONTACT_S, self.deadly)
        refused = [outcome for outcome in deadly if outcome.is_refused()]
        harmless = since(crash + 2 * CONTACT_S, self.harmless)
        whole = sum(outcome.is_whole for outcome in harmless)
        print("%d crashes; %d deadly prompts arrived at engines %d times, the last %.1f s after the counted crash, %d "
              "late; %d of %d were refused after the contact time, at the restarted gateway %d of %d; %d of %d "
              "harmless prompts were answered whole" % (
                  sum(len(engine.crashes) for engine in self.engines), len(reached), len(arrivals), max(delays), late,
                  len(refused), len(deadly), sum(outcome.is_refused() for outcome in restarted), len(restarted), whole,
                  len(harmless)), flush=True)
        require("few deadly prompts arrive at engines after the contact time", late <= MAX_LATE_ARRIVALS)
        require("the others are refused with Retry-After", len(deadly) - len(refused) <= MAX_LATE_ARRIVALS)
        require("no refused prompt arrived at an engine", not any(
            outcome.status == 503 and outcome.prompt in reached for outcome in since(0, self.deadly)))
        require("harmless prompts are answered at the first attempt", whole >= MIN_SHARE_ANSWERED * len(harmless))
        require("a restarted gateway refuses deadly prompts", all(outcome.is_refused() for outcome in restarted))


def main(binaries):
    session = Session(binaries)
    try:
        session.await_gateways()
        crash = session.crash_engines()
        session.check(crash, session.restart_gateway())
    except BaseException:
        for gateway in session.gateways:
            print(gateway.logged())
        raise
    finally:
        for gateway in session.gateways:
            gateway.process.kill()
    print("deadly part session: all checks passed")


if __name__ == "__main__":
    main(sys.argv[1])
