#!/usr/bin/env python3
"""Stops gateways among callers, signals, planned work and trouble of the store, all drawn from seeds, and checks what
callers and endpoints see. Usage: planned_stops.py <bin> [first seed] [count] [--at-once N] [--keep FOLDER]"""
import argparse
import collections
import concurrent.futures
import dataclasses
import datetime
import multiprocessing
import os
import random
import signal
import subprocess
import sys
import threading
import time

from gateway_session import KEY, Gateway
from prepared_platform import Store, configuration, record
from stop_callers import Caller, Orders
from stop_checks import GRACE_S, Checks, Evidence, Log
from stop_endpoints import WorkingEndpoint

ZONES = ["north", "south"]
# Busy processes end by themselves if their round is ended from outside.
BUSY_PROGRAM = "import time\nend = time.monotonic() + 30\nwhile time.monotonic() < end: pass"
START_ATTEMPTS = 3
# Before SIGTERM the callers of an idle gateway end their work in this time.
IDLE_TIME_S = 3
SETTLE_S = 3
SHOWN_FINDINGS = 3


@dataclasses.dataclass
class Plan:
    """What a round does. `timeline` holds actions with their times relative to SIGTERM, which is one of them."""

    seed: int
    is_idle: bool
    callers: int
    longest_stream: float
    has_replicas: bool
    busy_processes: int
    timeline: list

    @classmethod
    def draw(cls, seed):
        draws = random.Random(seed)
        is_idle, has_replicas = draws.random() < 0.3, draws.random() < 0.4
        timeline = [(0, "terminate"), (-draws.uniform(1, 3.5) - IDLE_TIME_S * is_idle, "begin")]
        if is_idle:
            timeline.append((-IDLE_TIME_S, "end_work"))
        if draws.random() < 0.7:
            manner = draws.choice(["silent", "silent", "holding", "slow", "closed"])
            timeline.append((draws.uniform(-2, 2), "store_" + manner))
            if draws.random() < 0.3:
                timeline.append((draws.uniform(2, 4), "store_healthy"))
        signals = ["hang_up", "hang_up_in_series", "hang_up_fast", "terminate_again", "interrupt"]
        work = ["rewrite_settings", "spoil_settings", "configure", "drain_endpoint", "drain_engine", "drain_engine",
                "break_streams", "evacuate_zone", "evacuate_zone", "restore_zones"]
        for action in draws.sample(signals, draws.choice([0, 1, 2])):
            # Once the gateway has heard of SIGTERM, it waits for no further signal.
            bounds = (0.1, 1.5) if action in ("terminate_again", "interrupt") else (-1, 0.3)
            timeline.append((draws.uniform(*bounds), action))
        for action in draws.sample(work, draws.choice([0, 1, 2, 3, 4])):
            timeline.append((draws.uniform(-0.8, 7), action))
        if not has_replicas:
            # Streams move only where they have no replica.
            timeline.append((draws.uniform(-0.5, 7), "drain_engine"))
        return cls(seed, is_idle, draws.randint(6, 24), 1 if is_idle else draws.choice([1, 4, 12, 12]),
                   has_replicas, draws.choice([2, 4]) if draws.random() < 0.15 else 0, sorted(timeline))

    def __str__(self):
        moments = ", ".join("%+.2f %s" % moment for moment in self.timeline)
        return "seed %d: %s, %d callers, streams up to %g s, %s replicas, %d busy processes; %s" % (
            self.seed, "idle" if self.is_idle else "busy", self.callers, self.longest_stream,
            "with" if self.has_replicas else "no", self.busy_processes, moments)


@dataclasses.dataclass
class Result:
    plan: Plan
    summary: str
    # Pairs of a finding and the lines of what is known of its request
    findings: list
    log: str


class Round:
    """Plays a plan with one gateway and the stand-ins of its platform."""

    def __init__(self, binaries, plan):
        self.plan = plan
        self.random = random.Random("round %d" % plan.seed)
        self.store = Store()
        self.runs = []
        self.endpoints = {WorkingEndpoint("%s-%s" % (kind, zone), self.runs): (kind, zone)
                          for kind in ("plain", "engines") for zone in ZONES}
        for endpoint, (kind, zone) in self.endpoints.items():
            self.store.put("servers", endpoint.name, record(endpoint, kind, zone=zone))
        self.version = 0
        self.configure()
        self.busy = [subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM]) for _ in range(plan.busy_processes)]
        self.gateway = self.start_gateway(binaries)
        with open(self.gateway.file.name) as file:
            self.settings = file.read()
        self.gone = threading.Event()
        self.callers = []
        self.was_killed = False
        self.signalled_at = self.signalled_at_date = self.exited_at = None

    def start_gateway(self, binaries):
        """A free port may be taken by a connection of another process before the gateway listens on it."""
        for _ in range(START_ATTEMPTS):
            gateway = Gateway(binaries, self.store)
            end = time.monotonic() + 10
            while gateway.process.poll() is None and time.monotonic() < end:
                if gateway.is_ready():
                    return gateway
                time.sleep(0.05)
            gateway.process.kill()
            gateway.process.wait()
        raise RuntimeError("the gateway does not start:\n" + gateway.logged())

    def play(self):
        watcher = threading.Thread(target=self.await_exit)
        start = time.monotonic() - self.plan.timeline[0][0]
        try:
            for moment, action in self.plan.timeline:
                if self.gone.wait(max(start + moment - time.monotonic(), 0)):
                    break
                getattr(self, action)()
                if action == "terminate":
                    start = self.signalled_at
                    watcher.start()
            watcher.join()
        finally:
            self.gateway.process.kill()
            self.gone.set()
            for process in self.busy:
                process.kill()
                process.wait()
        return self.judge()

    def await_exit(self):
        try:
            self.gateway.process.wait(max(self.signalled_at + GRACE_S - time.monotonic(), 0))
        except subprocess.TimeoutExpired:
            self.was_killed = True
            self.gateway.process.kill()
            self.gateway.process.wait()
        self.exited_at = time.monotonic()
        self.gone.set()

    def judge(self):
        settled_by = time.monotonic() + SETTLE_S
        for caller in self.callers:
            caller.join(max(settled_by - time.monotonic(), 0))
        for run in list(self.runs):
            run.ended.wait(max(settled_by - time.monotonic(), 0))
        text = self.gateway.logged()
        evidence = Evidence(self.plan.is_idle, self.signalled_at, self.exited_at, self.gateway.process.returncode,
                            self.was_killed, [sent for caller in self.callers for sent in list(caller.sent)],
                            list(self.runs), Log(text))
        findings = [(finding, evidence.describe(finding.request) if finding.request else [])
                    for finding in Checks(evidence).findings()]
        return Result(self.plan, self.summary(evidence), findings, text)

    def summary(self, evidence):
        sent = evidence.sent
        after = [each for each in sent if each.sent_at is not None and each.sent_at >= self.signalled_at]
        closed = sum(each.status is None for each in after)
        heard = [self.after_signal_ms(fields) for fields in evidence.log.events("stopping")]
        return "%s after %.2f s, heard after %s ms; %d requests, %d runs; after the signal %d requests, %d answered, " \
               "%d closed; cut %d" % (
                   "KILLED" if self.was_killed else "gone", evidence.after_signal(self.exited_at),
                   heard[0] if heard else "never", len(sent), len(self.runs), len(after),
                   sum(each.is_answered() for each in after), closed, len(evidence.log.events("cut")))

    def after_signal_ms(self, fields):
        return round((datetime.datetime.fromisoformat(fields["time"]).timestamp() - self.signalled_at_date) * 1000)

    # Actions of the timeline

    def begin(self):
        for number in range(self.plan.callers):
            draws = random.Random("%d %d" % (self.plan.seed, number))
            self.callers.append(Caller(self.gateway.callers, draws, Orders(draws, self.plan.longest_stream), self.gone))
            self.callers[-1].start()

    def terminate(self):
        if self.plan.is_idle:
            for caller in self.callers:
                caller.join()
        self.signalled_at, self.signalled_at_date = time.monotonic(), time.time()
        self.gateway.process.send_signal(signal.SIGTERM)

    def end_work(self):
        """Leaves the connections of the callers open and idle."""
        for caller in self.callers:
            caller.stopping.set()

    def terminate_again(self):
        self.gateway.process.send_signal(signal.SIGTERM)

    def interrupt(self):
        self.gateway.process.send_signal(signal.SIGINT)

    def hang_up(self):
        self.gateway.process.send_signal(signal.SIGHUP)

    def hang_up_in_series(self):
        self.hang_up_for(self.random.uniform(0.5, 2), 0.1)

    def hang_up_fast(self):
        self.hang_up_for(self.random.uniform(0.3, 3), 0.0003)

    def hang_up_for(self, time_needed, interval):
        def send():
            end = time.monotonic() + time_needed
            while time.monotonic() < end and not self.gone.wait(interval * self.random.random()):
                self.hang_up()

        threading.Thread(target=send, daemon=True).start()

    def rewrite_settings(self):
        self.write_settings("retry_headroom: %d\n" % self.random.randint(10, 90))

    def spoil_settings(self):
        self.write_settings("retry_headroom: none\n")

    def write_settings(self, line):
        with open(self.gateway.file.name, "w") as file:
            file.write(self.settings + line)

    def configure(self):
        self.version += 1
        changed = configuration(self.version, [KEY, "key-%d" % self.version])
        changed["services"][1]["runtime"]["replicas"] = self.plan.has_replicas
        self.store.put("op", "config", changed)

    def drain_endpoint(self):
        self.drain(self.random.choice(list(self.endpoints)))

    def drain_engine(self):
        self.drain(self.random_engine())

    def break_streams(self):
        self.random_engine().break_off()

    def random_engine(self):
        return self.random.choice([each for each, (kind, _) in self.endpoints.items() if kind == "engines"])

    def drain(self, endpoint):
        kind, zone = self.endpoints[endpoint]
        self.store.put("servers", endpoint.name, record(endpoint, kind, "draining", zone))

    def evacuate_zone(self):
        self.store.put("op", "evacuate/" + self.random.choice(ZONES), {})

    def restore_zones(self):
        for zone in ZONES:
            self.store.delete("op", "evacuate/" + zone)

    def store_healthy(self):
        self.store.behave("healthy")

    def store_silent(self):
        self.store.behave("silent")

    def store_holding(self):
        self.store.behave("holding")

    def store_slow(self):
        self.store.behave("slow")

    def store_closed(self):
        self.store.behave("closed")


def play(binaries, seed):
    return Round(binaries, Plan.draw(seed)).play()


def report(result, folder):
    counts = collections.Counter(finding.check for finding, _ in result.findings)
    print("%s seed %d: %s" % ("FAILED" if counts else "ok", result.plan.seed, result.summary), flush=True)
    if not counts:
        return counts
    print("  " + str(result.plan))
    for check, count in counts.items():
        print("  FAILED: %s (%d)" % (check, count))
        shown = [found for found in result.findings if found[0].check == check][:SHOWN_FINDINGS]
        for finding, lines in shown:
            print("    " + finding.text, *("      " + line for line in lines), sep="\n")
    if folder:
        os.makedirs(folder, exist_ok=True)
        with open(os.path.join(folder, "seed-%d.log" % result.plan.seed), "w") as kept:
            kept.write("%s\n%s\n" % (result.plan, result.summary))
            for finding, lines in result.findings:
                kept.write("\n".join(["FAILED: %s: %s" % (finding.check, finding.text), *lines]) + "\n")
            kept.write("\n" + result.log)
    return counts


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("first", type=int, nargs="?", default=1)
    parser.add_argument("count", type=int, nargs="?", default=20)
    parser.add_argument("--at-once", type=int, default=4, help="rounds that are played at the same time")
    parser.add_argument("--keep", metavar="FOLDER", help="where the logs of failed rounds are kept")
    arguments = parser.parse_args()
    failed = collections.defaultdict(list)
    # A process for each round: threads of one leave the next alone.
    with concurrent.futures.ProcessPoolExecutor(arguments.at_once, multiprocessing.get_context("spawn"),
                                                max_tasks_per_child=1) as pool:
        seeds = range(arguments.first, arguments.first + arguments.count)
        rounds = {pool.submit(play, arguments.binaries, seed): seed for seed in seeds}
        for future in concurrent.futures.as_completed(rounds):
            if future.exception():
                print("FAILED seed %d: %r" % (rounds[future], future.exception()))
                failed["the round can be played"].append(rounds[future])
                continue
            for check in report(future.result(), arguments.keep):
                failed[check].append(rounds[future])
    for check, seeds in failed.items():
        print("FAILED in %d of %d rounds: %s; seeds %s" % (
            len(seeds), arguments.count, check, " ".join(map(str, sorted(seeds)))))
    print("planned stops: " + ("some checks failed" if failed else "all checks passed"))
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
