#!/usr/bin/env python3
"""Plays several gateways among callers, engines that move their runs, and planned work that overlaps, drawn from seeds.
Usage: planned_soak.py <bin> [first seed] [count] [--at-once N] [--keep FOLDER] [--starve SHARE]"""
import argparse
import collections
import concurrent.futures
import copy
import dataclasses
import multiprocessing
import os
import random
import signal
import subprocess
import sys
import threading
import time

from gateway_session import KEY
from planned_stops import BUSY_PROGRAM, ZONES
from prepared_platform import Store, configuration, record
from soak_callers import SoakCaller, SoakOrders
from soak_checks import Record, SoakChecks
from soak_engines import Memory, SoakEngine, Trouble
from soak_gateways import GRACE_S, LoadBalancer, SoakGateway

OTHER_KEY = "key-other"
WARM_UP_S = 2.5
WORK_S = 16
SETTLE_S = 2
ENGINE_SLOTS = 24
READY_WITHIN_S = 25
SHOWN_FINDINGS = 3


@dataclasses.dataclass
class SoakPlan:
    """What a round does. `timeline` holds actions with their times after the callers began."""

    seed: int
    gateways: int
    callers: int
    share: float
    has_replicas: bool
    has_unread_log: bool
    busy_processes: int
    trouble: Trouble
    timeline: list

    @classmethod
    def draw(cls, seed, share=None):
        draws = random.Random(seed)
        gateways = draws.choice([3, 3, 4])
        timeline = []
        for _ in range(draws.choice([1, 2, 3, 4])):
            timeline.append((draws.uniform(WARM_UP_S, WORK_S), "restart"))
        for action, most in {"configure": 10, "hang_up": 3, "hang_up_in_series": 2, "rewrite_settings": 2,
                             "terminate_again": 2, "drain_engine": 8, "remove_engine": 2, "evacuate_zone": 1,
                             "configuration_storm": 1, "replace_settings": 1}.items():
            for _ in range(draws.randint(0, most)):
                timeline.append((draws.uniform(1, WORK_S), action))
        for moment, action in list(timeline):
            if action == "evacuate_zone":
                timeline.append((moment + draws.uniform(2, 6), "restore_zones"))
        if draws.random() < 0.1:
            timeline.append((draws.uniform(1, WORK_S), "break_streams"))
        trouble = Trouble(draws.choice([0, 0, 0.3]), draws.choice([0, 0, 0.3, 0.6]), draws.choice([0, 0.2, 0.5]),
                          draws.choice([0.5, 1.5, 4]), draws.choice([0, 0, 0.5]))
        drawn_share = draws.choice([1, 1, 0.3, 0.15, 0.07])
        return cls(seed, gateways, draws.randint(6, 11) * gateways, share or drawn_share, draws.random() < 0.4,
                   draws.random() < 0.2, draws.choice([0, 0, 0, 2]), trouble, sorted(timeline))

    def __str__(self):
        return "seed %d: %d gateways with %g of a core, %d callers, %s replicas, log %s, %d busy processes, %s; %s" % (
            self.seed, self.gateways, self.share, self.callers, "with" if self.has_replicas else "no",
            "unread at one" if self.has_unread_log else "read", self.busy_processes, self.trouble,
            ", ".join("%.2f %s" % moment for moment in self.timeline))


@dataclasses.dataclass
class Result:
    plan: SoakPlan
    summary: str
    findings: list
    excused: list
    log: list
    counts: collections.Counter


class Changes:
    """Configurations whose contents change from version to version."""

    def __init__(self, draws, has_replicas):
        self.draws = draws
        self.content = configuration(1, [KEY, OTHER_KEY])
        for route in self.content["routes"]:
            route["timeoutMs"] = 39000
        engines = self.content["services"][1]
        engines["runtime"] |= {"replicas": has_replicas, "slots": ENGINE_SLOTS, "kvCapacity": 90000}
        engines["maxConns"] = 252
        self.content["services"].append(copy.deepcopy(engines) | {"name": "others"})
        self.kinds = [self.idle_limit, self.timeouts, self.split, self.move, self.keys, self.tenants, self.capabilities,
                      self.limits, self.add_routes, self.objectives, self.drop_route]

    def next(self):
        self.content["version"] += self.draws.randint(1, 3)
        self.draft()["host"] = "host.example"
        for kind in self.draws.sample(self.kinds, self.draws.choice([1, 1, 2, 3])):
            kind()
        return copy.deepcopy(self.content)

    def shortest_timeout(self):
        return min(route["timeoutMs"] for route in self.content["routes"]) / 1000

    def draft(self):
        return next(route for route in self.content["routes"] if route["name"] == "draft")

    def idle_limit(self):
        self.content["limits"]["idleTimeoutMs"] = self.draws.choice([1000, 1500, 3000, 15000, 60000])

    def timeouts(self):
        for route in self.content["routes"]:
            route["timeoutMs"] = self.draws.choice([15000, 25000, 39000, 39000, 60000])

    def split(self):
        weight = self.draws.choice([0.1, 0.5, 0.9, 1])
        self.draft()["split"] = [{"service": "engines", "weight": weight}, {"service": "others", "weight": 1 - weight}]

    def move(self):
        self.draft().pop("split", None)
        self.draft()["service"] = self.draws.choice(["engines", "others"])

    def keys(self):
        tenant = self.content["tenants"][0]
        tenant["apiKeys"] = [KEY] + [OTHER_KEY] * (self.draws.random() < 0.5) + ["key-%d" % self.content["version"]]

    def tenants(self):
        others = [{"name": "team-%d" % number, "apiKeys": ["none-%d" % number], "priority": number}
                  for number in range(self.draws.randint(0, 4))]
        self.content["tenants"][1:] = others

    def capabilities(self):
        for service in self.content["services"][1:]:
            runtime = service["runtime"]
            runtime[self.draws.choice(["migrations", "replicas"])] = self.draws.random() < 0.85
            runtime["kvCapacity"] = self.draws.choice([34133, 90000, 200000])
            runtime["stride"] = self.draws.choice([1, 4, 4])

    def limits(self):
        self.content["limits"] |= {"maxHeaderBytes": self.draws.choice([2048, 8192, 16384]),
                                   "maxBodyBytes": self.draws.choice([32768, 65536]),
                                   "headerTimeoutMs": self.draws.choice([1500, 3000, 10000])}

    def add_routes(self):
        for number in range(self.draws.choice([1, 20, 200])):
            name = "more-%d-%d" % (self.content["version"], number)
            self.content["routes"].append(self.content["routes"][0] | {"name": name, "prefix": "/%s/" % name})

    def objectives(self):
        for route in self.content["routes"]:
            route["goalMs"] = self.draws.choice([150, 1500, 1800])
            route["priority"] = self.draws.randint(0, 2)

    def drop_route(self):
        """Takes the streams' route away until the next version."""
        if self.draws.random() < 0.5:
            self.draft()["host"] = "gone.example"


class SoakRound:
    def __init__(self, binaries, plan):
        self.plan = plan
        self.draws = random.Random("soak %d" % plan.seed)
        self.store = Store()
        self.over = threading.Event()
        self.runs = []
        self.memory = Memory()
        self.engines = {}
        self.names = 0
        for service, count in {"plain": 1, "engines": 2, "others": 1}.items():
            for zone in ZONES * count:
                self.add_engine(service, zone)
        self.changes = Changes(self.draws, plan.has_replicas)
        self.configurations = []
        self.store_configuration(copy.deepcopy(self.changes.content))
        self.gateways = []
        for number in range(plan.gateways):
            is_log_read = number > 0 or not plan.has_unread_log
            self.gateways.append(SoakGateway(binaries, self.store, "gateway-%d" % number, ZONES[number % len(ZONES)],
                                             plan.share, is_log_read))
        self.balancer = LoadBalancer(self.gateways, self.over)
        self.callers = []
        self.busy = []

    def add_engine(self, service, zone):
        self.names += 1
        engine = SoakEngine("%s-%s-%d" % (service, zone, self.names), self.runs, self.memory, ENGINE_SLOTS,
                            self.plan.trouble, "%d %d" % (self.plan.seed, self.names))
        self.engines[engine] = service, zone
        self.store.put("servers", engine.name, record(engine, service, zone=zone))

    def play(self):
        try:
            self.await_readiness()
            for _ in range(self.plan.busy_processes):
                self.busy.append(subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM]))
            self.began_at = time.monotonic()
            self.begin()
            for moment, action in self.plan.timeline:
                time.sleep(max(self.began_at + moment - time.monotonic(), 0))
                getattr(self, action)()
            self.over_at = time.monotonic()
            self.finish()
        finally:
            self.over.set()
            for process in self.busy:
                process.kill()
                process.wait()
            for gateway in self.gateways:
                gateway.current.await_exit(0)
        return self.judge()

    def await_readiness(self):
        end = time.monotonic() + READY_WITHIN_S
        while not all(gateway.is_in_rotation for gateway in self.gateways):
            if time.monotonic() > end:
                raise RuntimeError("not ready:\n" + "\n".join(
                    line for gateway in self.gateways for line in gateway.logged()[-5:]))
            time.sleep(0.1)

    def begin(self):
        for number in range(self.plan.callers):
            draws = random.Random("%d caller %d" % (self.plan.seed, number))
            orders = SoakOrders(draws, [KEY, KEY, OTHER_KEY])
            self.callers.append(SoakCaller(self.balancer, self.gateways[number % len(self.gateways)], draws, orders,
                                           self.over))
            self.callers[-1].start()

    def finish(self):
        """Stops all gateways, some at once; the callers keep on until the last one is gone."""
        for gateway in self.gateways:
            time.sleep(self.draws.choice([0, 0.3, 1]))
            while gateway.is_running() and not gateway.hears_signals():
                time.sleep(0.1)
            if gateway.is_running():
                gateway.terminate()
        end = time.monotonic() + GRACE_S + SETTLE_S
        while any(gateway.current.exited_at is None for gateway in self.gateways) and time.monotonic() < end:
            time.sleep(0.1)
        self.over.set()
        for caller in self.callers:
            caller.join(max(end + SETTLE_S - time.monotonic(), 0.1))

    def judge(self):
        sent = [each for caller in self.callers for each in list(caller.sent)]
        evidence = Record(self.began_at, sent, list(self.runs), list(self.engines), self.gateways, self.configurations)
        checks = SoakChecks(evidence)
        findings = checks.findings()
        counts = collections.Counter()
        for each in sent:
            counts["requests"] += 1
            counts["long streams"] += each.order.pieces == 233
            counts["whole"] += each.is_completed()
            counts["status %s" % (each.status if not each.is_completed() else 200)] += 1
        counts["moved"] = sum(" final=True: 200" in text for calls in evidence.calls_of.values() for _, text in calls)
        counts["resumed"] = sum("resumed" in text for calls in evidence.calls_of.values() for _, text in calls)
        incarnations = [each for gateway in self.gateways for each in gateway.incarnations]
        counts["stops"] = sum(each.signalled_at is not None for each in incarnations)
        counts["configurations"] = len(self.configurations)
        for event in ("cut", "abandoned", "timed_out", "failed", "not_resumed", "response_lost", "log_lines_lost"):
            counts[event] = sum("event=%s " % event in line for gateway in self.gateways for line in gateway.logged())
        counts.update({"excused: " + reason: count for reason, count in checks.excuses.items()})
        summary = ", ".join("%s %d" % item for item in counts.items())
        log = ["%s: %s" % (gateway.instance, line) for gateway in self.gateways for line in gateway.logged()]
        excused = [(reason, evidence.describe(each)) for reason, each in checks.excused]
        return Result(self.plan, summary, findings, excused, log, counts)

    # Actions of the timeline

    def restart(self):
        """Stops a gateway, alone or beside others that stop, and starts it again under its name."""
        running = [each for each in self.gateways if each.hears_signals() and each.current.signalled_at is None]
        # One at least goes on.
        if len(running) < 2:
            return
        gateway = self.draws.choice(running)
        incarnation = gateway.terminate()
        delay = self.draws.choice([0, 0.2, 1])

        def start_again():
            while incarnation.exited_at is None:
                time.sleep(0.02)
            time.sleep(delay)
            if time.monotonic() < self.began_at + WORK_S:
                gateway.start()

        threading.Thread(target=start_again, daemon=True).start()

    def terminate_again(self):
        for gateway in self.gateways:
            if gateway.is_running() and gateway.current.signalled_at:
                gateway.terminate([self.draws.choice([signal.SIGTERM, signal.SIGINT, signal.SIGHUP])])

    def hang_up(self):
        for gateway in self.draws.sample(self.gateways, self.draws.randint(1, len(self.gateways))):
            gateway.hang_up()

    def hang_up_in_series(self):
        gateway, count, pause = self.draws.choice(self.gateways), self.draws.randint(5, 40), self.draws.uniform(0, 0.1)

        def send():
            for _ in range(count):
                gateway.hang_up()
                time.sleep(pause)

        threading.Thread(target=send, daemon=True).start()

    def rewrite_settings(self):
        self.draws.choice(self.gateways).write_settings("retry_headroom: %d\n" % self.draws.randint(10, 90))

    def replace_settings(self):
        gateway = self.draws.choice(self.gateways)
        gateway.write_settings("retry_ratio: 0.%d\n" % self.draws.randint(1, 9))
        gateway.hang_up()

    def configure(self):
        self.store_configuration(self.changes.next())

    def configuration_storm(self):
        for _ in range(self.draws.randint(4, 10)):
            self.configure()
            time.sleep(self.draws.uniform(0, 0.15))

    def store_configuration(self, content):
        self.configurations.append((time.monotonic(), min(route["timeoutMs"] for route in content["routes"]) / 1000))
        self.store.put("op", "config", content)

    def leaving_engine(self):
        by_service = collections.defaultdict(list)
        for engine, (service, _) in self.engines.items():
            if not engine.is_leaving:
                by_service[service].append(engine)
        service = self.draws.choice(["plain", "engines", "engines", "engines", "others"])
        busiest = max(by_service[service], key=SoakEngine.open_runs)
        engine = self.draws.choice([busiest, busiest, self.draws.choice(by_service[service])])
        return engine, *self.engines[engine]

    def drain_engine(self):
        """An engine leaves as planned; another takes its place."""
        engine, service, zone = self.leaving_engine()
        self.store.put("servers", engine.name, record(engine, service, "draining", zone))
        engine.leave(2 + self.draws.choice([0.5, 4, 12]))
        self.add_engine(service, zone)

    def remove_engine(self):
        engine, service, zone = self.leaving_engine()
        self.store.delete("servers", engine.name)
        engine.leave(2 + self.draws.choice([0.5, 4, 12]))
        self.add_engine(service, zone)

    def break_streams(self):
        self.draws.choice([each for each, (kind, _) in self.engines.items() if kind != "plain"]).break_off()

    def evacuate_zone(self):
        self.store.put("op", "evacuate/" + self.draws.choice(ZONES), {})

    def restore_zones(self):
        for zone in ZONES:
            self.store.delete("op", "evacuate/" + zone)


def play(binaries, seed, share):
    return SoakRound(binaries, SoakPlan.draw(seed, share)).play()


def report(result, folder):
    counts = collections.Counter(finding.check for finding, _ in result.findings)
    print("%s seed %d: %s" % ("FAILED" if counts else "ok", result.plan.seed, result.summary), flush=True)
    if counts:
        print("  " + str(result.plan))
    for check, count in counts.items():
        print("  FAILED: %s (%d)" % (check, count))
        for finding, lines in [found for found in result.findings if found[0].check == check][:SHOWN_FINDINGS]:
            print("    " + finding.text, *("      " + line for line in lines), sep="\n")
    if folder:
        os.makedirs(folder, exist_ok=True)
        with open(os.path.join(folder, "seed-%d.log" % result.plan.seed), "w") as kept:
            kept.write("%s\n%s\n" % (result.plan, result.summary))
            for finding, lines in result.findings:
                kept.write("\n".join(["FAILED: %s: %s" % (finding.check, finding.text), *lines]) + "\n")
            for reason, lines in result.excused:
                kept.write("\n".join(["excused: " + reason, *lines]) + "\n")
            kept.write("\n" + "\n".join(result.log) + "\n")
    return counts


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("first", type=int, nargs="?", default=1)
    parser.add_argument("count", type=int, nargs="?", default=3)
    parser.add_argument("--at-once", type=int, default=3, help="rounds that are played at the same time")
    parser.add_argument("--keep", metavar="FOLDER", help="where the logs of rounds are kept")
    parser.add_argument("--starve", type=float, metavar="SHARE", help="the share of a core of each gateway")
    arguments = parser.parse_args()
    failed, total = collections.defaultdict(list), collections.Counter()
    # A process for each round: threads of one leave the next alone.
    with concurrent.futures.ProcessPoolExecutor(arguments.at_once, multiprocessing.get_context("spawn"),
                                                max_tasks_per_child=1) as pool:
        seeds = range(arguments.first, arguments.first + arguments.count)
        rounds = {pool.submit(play, arguments.binaries, seed, arguments.starve): seed for seed in seeds}
        for future in concurrent.futures.as_completed(rounds):
            if future.exception():
                print("FAILED seed %d: %r" % (rounds[future], future.exception()), flush=True)
                failed["the round can be played"].append(rounds[future])
                continue
            total.update(future.result().counts)
            for check in report(future.result(), arguments.keep):
                failed[check].append(rounds[future])
    print("total: " + ", ".join("%s %d" % item for item in total.items()))
    for check, seeds in failed.items():
        print("FAILED in %d of %d rounds: %s; seeds %s" % (
            len(seeds), arguments.count, check, " ".join(map(str, sorted(seeds)))))
    print("planned soak: " + ("some checks failed" if failed else "all checks passed"))
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
