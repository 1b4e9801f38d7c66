"""Starts gateways with the command and the settings template of the deploy file, and keeps the record of a case."""
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test/process/lib"))
from prepared_platform import Store  # noqa: E402: the project's stand-in of the platform's store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# As in the settings of a small deployment; see DEPLOY and the sheets.
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 8, "strictRevoke": True, "revokeMs": 5000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryHeadroom": 52, "coldFactor": 1.5, "coldHeadroom": 5}
LIMITS = {"cpuQuota": 1, "cores": 1, "memoryMb": 110, "maxFds": 4100}
CONFIGURATION_LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                        "idleTimeoutMs": 15000}
HOST = "host.example"
KEY = "key-of-team-a"


class CannotRun(Exception):
    pass


class Record:
    """Writes record.txt: one line an event, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def note(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


def lookup(fields, path):
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        else:
            fields = fields.get(name) if isinstance(fields, dict) else None
        if fields is None:
            return None
    return fields


def fill(template, fields):
    """Fills in the parts of the template language that deploy/gateway.yaml uses."""
    def section(match):
        value = lookup(fields, match.group(1))
        return "" if value is None or value is False else match.group(2).replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(fields, match.group(1)) or ""), text)


def free_port(host, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Gateway:
    """A process of the deploy file's role `gateway`."""

    def __init__(self, record, store, number, zone="zone-a", more_bounds=None):
        self.name, self.record = "edge-%d" % number, record
        self.ip = "127.0.0.%d" % (10 + number)
        self.callers, self.readiness, metrics, peers = (free_port(self.ip) for _ in range(4))
        fields = {"nodeName": self.name, "zone": zone, "ip": self.ip, "portRange": [metrics, peers],
                  "listen": {"frontend": "%s:%d" % (self.ip, self.callers),
                             "readiness": "%s:%d" % (self.ip, self.readiness)},
                  "platform": {"address": store.address}, "limits": LIMITS,
                  "bounds": {**BOUNDS, **(more_bounds or {})}}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self.folder = tempfile.TemporaryDirectory()
        settings = pathlib.Path(self.folder.name) / "local.toml"
        settings.write_text(fill((ROOT / deploy["template"]).read_text(), fields))
        words = deploy["run"].replace("/etc/teaselfold/local.toml", str(settings)).split()
        self.command = [str(ROOT / words[0]), *words[1:]]
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun("no program %s" % self.command[0])
        self.log = open(pathlib.Path(self.folder.name) / "log", "wb")
        self.start()

    def start(self):
        self.process = subprocess.Popen(self.command, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)
        self.record.note("%s started, process %d" % (self.name, self.process.pid))

    def logged(self):
        return pathlib.Path(self.log.name).read_text(errors="replace")

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.readiness, timeout=1)
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def connect(self, timeout=30):
        return http.client.HTTPConnection(self.ip, self.callers, timeout=timeout)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def wait_until(what, check, limit_s=15):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise CannotRun("%s: not within %d s" % (what, limit_s))


def route(name, kind, service, attempts=1, goal_ms=1500, timeout_ms=20000, **more):
    return {"name": name, "host": HOST, "prefix": "/%s/" % name, "routeKind": kind, "timeoutMs": timeout_ms,
            "goalMs": goal_ms, "priority": 0, "service": service, "maxAttempts": attempts, "public": False, **more}


def configuration(routes, services):
    return {"version": 1, "routes": routes, "services": services, "limits": CONFIGURATION_LIMITS,
            "tenants": [{"name": "team-a", "apiKeys": [KEY]}]}


def entry(service, address, born, zone="zone-a", slots=8):
    """A worker's entry in the store."""
    return {"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
            "coldLeftMs": 0, "seqNo": 1, "born": born}


def unix_ms():
    return int(time.time() * 1000)


def interrupted(*_):
    raise CannotRun("interrupted")


def play(folder, case):
    """Runs a case: a function of the record that returns whether the rule held and ends what it started."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, interrupted)
    record.note("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
    try:
        held = case(record)
    except CannotRun as problem:
        record.say("cannot run: %s" % problem)
        sys.stdout.flush()
        os._exit(NOT_RUN)
    except Exception as problem:  # the stand-ins failed
        record.say("cannot run: %r" % problem)
        sys.stdout.flush()
        os._exit(NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(HELD if held else BROKEN)
