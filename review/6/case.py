"""Drafts at two engines, one of which loses the answer of one draft by a reset while it runs the draft on."""
import http.client
import json
import pathlib
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from session import HOST, KEY, TROUBLE, Gateway, Record, address_of, wait_until  # noqa: E402
from prepared_platform import Server, SilentHandler, Store, record as entry  # noqa: E402

STREAMS = 60
# Events of a draft and the time between two of them.
EVENTS = 100
EVENT_INTERVAL_S = 0.025
# Share of the requests that a server loses the answer of: one in twenty, for four seconds, at half of the servers.
LOST_ONE_IN = 20
LOSS_TIME_S = 4.0
EVENTS_BEFORE_LOSS = 50
# The rule: how long the worker before may still work on a request that goes on elsewhere.
ALLOWED_OVERLAP_S = 0.4


class Loss:
    """The disruption: the first of the two engines that begins its twentieth draft in this time loses its answer."""

    def __init__(self, until):
        self.until, self.begun, self.loser, self.lock = until, {}, None, threading.Lock()

    def begin(self, engine):
        with self.lock:
            if time.monotonic() >= self.until or self.loser:
                return False
            self.begun[engine.name] = self.begun.get(engine.name, 0) + 1
            if self.begun[engine.name] < LOST_ONE_IN:
                return False
            self.loser = engine.name
            return True


class Run:
    """One run at one engine. It goes on when its connection is gone only if its answer was lost."""

    def __init__(self, engine, request, first_event):
        self.engine, self.request, self.event = engine, request, first_event
        self.began, self.ended, self.last = time.monotonic(), None, "running"
        self.is_stopped = False


class Engine(Server):
    def __init__(self, name, record):
        self.name, self.record, self.lock = name, record, threading.Lock()
        self.runs, self.copies, self.kept = [], {}, {}
        self.others = []
        self.loss = Loss(0)
        super().__init__(EngineHandler)

    def running(self, request):
        return next((run for run in self.runs if run.request == request and run.ended is None), None)


class EngineHandler(SilentHandler):
    def reply_json(self, status, content):
        self.reply(status, json.dumps(content).encode(), [("Content-Type", "application/json")])

    def do_GET(self):
        executions = [[run.request, 1000 + run.event * 4, run.event, 5] for run in self.owner.runs if run.ended is None]
        self.reply_json(200, {"phase": "colocated", "models": [], "busy": False, "seqNo": 1, "queued": 0,
                              "active": len(executions), "kvInUse": 0, "kvCapacityTotal": 30000, "sessions": 0,
                              "executions": executions})

    def do_POST(self):
        content = self.body()
        if self.path == "/v1/kv-move":
            return self.move(json.loads(content))
        engine, request = self.owner, self.headers["X-Teaselfold-Attempt-Id"]
        if self.headers["X-Teaselfold-Target-Instance"] != engine.name:
            return self.reply(421)
        source = self.headers.get("Kv-From")
        if source and source.split("/")[1] not in engine.copies:
            return self.reply(503, headers=[("X-Teaselfold-Attempt-Id", request), ("X-Teaselfold-Not-Executed", "1")])
        if source:
            del engine.copies[source.split("/")[1]]
        replica = self.headers.get("X-Teaselfold-Kv-Replica")
        for other in engine.others:
            if other.address == replica:
                other.copies[request] = True
        run = Run(engine, request, int(self.headers.get("Last-Event-Id", 0)))
        with engine.lock:
            engine.runs.append(run)
            loses = engine.loss.begin(engine)
        engine.record("%s runs %s%s" % (engine.name, request, ", going on after event %d from %s" % (run.event, source)
                                        if source else ""))
        self.stream(run, loses)

    def stream(self, run, loses):
        self.send_response(200)
        for name, value in [("X-Teaselfold-Attempt-Id", run.request), ("X-Teaselfold-Server-Signature", "s." + run.engine.name),
                            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()
        is_connected = True
        while run.event < EVENTS and not run.is_stopped:
            time.sleep(EVENT_INTERVAL_S)
            run.event += 1
            if not is_connected:
                continue
            data = b"id: %d\ndata: token %d\n\n" % (run.event, run.event)
            try:
                self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            except OSError:
                break  # like most workers: a run ends with its connection
            if loses and run.event == EVENTS_BEFORE_LOSS:
                is_connected = False
                run.engine.record("%s loses the answer of %s by a reset and runs it on" % (run.engine.name, run.request))
                self.close_connection = True
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.wfile.close()
                self.rfile.close()
                self.connection.close()
        run.ended = time.monotonic()
        run.last = "all %d events made" % EVENTS if run.event == EVENTS else "stopped at event %d" % run.event
        for other in run.engine.others:
            if run.event == EVENTS:
                other.copies.pop(run.request, None)
        run.engine.record("%s: its run of %s ends: %s" % (run.engine.name, run.request, run.last))
        if is_connected and run.event == EVENTS:
            self.wfile.write(b"0\r\n\r\n")
        else:
            self.close_connection = True

    def move(self, call):
        engine, run = self.owner, self.owner.running(call["id"])
        engine.record("%s is asked to move %s, final %s" % (engine.name, call["id"], call["final"]))
        if not run:
            return self.reply_json(404, {})
        if call["final"]:
            run.is_stopped = True
        target = next(other for other in engine.others + [engine] if other.address == call["to"])
        target.copies[call["id"]] = True
        self.reply_json(200, {"session": call["id"], "created": run.event})

    def finish(self):
        try:
            super().finish()
        except (OSError, ValueError):
            pass


def draft(gateway, number, record, answers):
    request = "draft-%02d" % number
    connection = http.client.HTTPConnection(*address_of(gateway.callers), timeout=39)
    try:
        connection.request("POST", "/draft/%d" % number, b"x", {
            "Host": HOST, "X-Teaselfold-Attempt-Id": request, "X-Teaselfold-Deadline-Ms": "39000", "X-Api-Key": KEY,
            "X-Teaselfold-Model": "m", "X-Teaselfold-Token-Usage": "300,400",
            "X-Teaselfold-Prefix-Hash": "5c1e07a2:80,%x:220" % (0x1000 + number)})
        answer = connection.getresponse()
        body = answer.read().decode()
        ids = [int(line[4:]) for line in body.splitlines() if line.startswith("id: ")]
        answers[request] = (answer.status, "whole" if ids == list(range(1, EVENTS + 1)) else "%d events" % len(ids))
    except (OSError, http.client.HTTPException) as error:
        answers[request] = (0, "broken off: %r" % error)
    record("client: %s answered %s" % (request, answers[request]))


def configuration():
    return {"version": 1,
            "routes": [{"name": "draft", "host": HOST, "prefix": "/draft/", "routeKind": "streaming", "timeoutMs": 39000,
                        "goalMs": 1800, "itlTargetMs": 180, "priority": 1, "service": "drafters", "maxAttempts": 1,
                        "sticky": True, "public": False}],
            "services": [{"name": "drafters", "healthPath": "/healthz", "maxConns": 252, "coldPerS": 36,
                          "runtime": {"slots": 24, "kvCapacity": 34133, "migrations": True, "replicas": True,
                                      "stride": 4}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-a", "apiKeys": [KEY]}]}


def main():
    record = Record(pathlib.Path(__file__).parent)
    store = Store()
    engines = [Engine("engine-%d" % number, record) for number in (1, 2)]
    for engine in engines:
        engine.others = [other for other in engines if other is not engine]
        store.put("servers", engine.name, {**entry(engine, "drafters"), "slots": 24})
    store.put("op", "config", configuration())
    gateway = Gateway(store.address)
    try:
        if not wait_until(gateway.is_ready):
            return record.end("the gateway did not become ready", 2)
        time.sleep(2)
        if TROUBLE:
            engines[0].loss = engines[1].loss = Loss(time.monotonic() + LOSS_TIME_S)
            record("for %.0f s, one of the engines loses one answer in %d by a reset" % (LOSS_TIME_S, LOST_ONE_IN))
        answers, clients = {}, []
        for number in range(STREAMS):
            clients.append(threading.Thread(target=draft, args=(gateway, number, record, answers)))
            clients[-1].start()
            time.sleep(0.055)
        for client in clients:
            client.join()
        wait_until(lambda: all(run.ended for engine in engines for run in engine.runs))
        return judge(record, engines, answers)
    finally:
        gateway.end()


def judge(record, engines, answers):
    runs = sorted((run for engine in engines for run in engine.runs), key=lambda run: run.began)
    if TROUBLE and not engines[0].loss.loser:
        return record.end("neither engine began enough drafts, so that no answer was lost", 2)
    broken = []
    for run in runs:
        for before in runs:
            overlap = before.ended - run.began
            if before.request == run.request and before.began < run.began and overlap > ALLOWED_OVERLAP_S:
                broken.append("%s goes on at %s while %s still works on it %.1f s later"
                              % (run.request, run.engine.name, before.engine.name, overlap))
    record("%d drafts, %d answered whole, %d runs" % (STREAMS, sum(a == (200, "whole") for a in answers.values()), len(runs)))
    if broken:
        return record.end("TWICE is broken: " + "; ".join(broken), 1)
    if not TROUBLE and any(answer != (200, "whole") for answer in answers.values()):
        return record.end("a draft was not answered whole without the disruption", 2)
    return record.end("the rule held", 0)


if __name__ == "__main__":
    sys.exit(main())
