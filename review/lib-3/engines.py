"""Model engines on loopback that run streams, keep replicas and copies of them, and stop them when asked."""
import json
import socket
import threading
import time

from prepared_platform import Listener
from workers import Worker, WorkerHandler


class Run:
    """Makes events at a steady rate, with or without a connection that takes them."""

    def __init__(self, engine, attempt, first, last, interval_s):
        self.engine, self.attempt = engine, attempt
        self.made, self.last, self.interval_s = first - 1, last, interval_s
        self.began_at, self.ended_at, self.is_stopped = time.monotonic(), None, False
        self.changed = threading.Condition()
        threading.Thread(target=self.work, daemon=True).start()

    def work(self):
        while True:
            time.sleep(self.interval_s)
            with self.changed:
                if not self.is_stopped and self.made < self.last:
                    self.made += 1
                    self.engine.record.note("%s makes event %d of %s" % (self.engine.id, self.made, self.attempt))
                if self.is_stopped or self.made == self.last:
                    self.ended_at = time.monotonic()
                    self.engine.record.note("%s ends its run of %s%s" % (
                        self.engine.id, self.attempt, " (stopped)" if self.is_stopped else ""))
                self.changed.notify_all()
                if self.ended_at:
                    return

    def stop(self):
        """Returns whether there was a run to stop."""
        with self.changed:
            if self.ended_at:
                return False
            self.is_stopped = True
            self.changed.wait_for(lambda: self.ended_at)
            return True


class Engine(Worker):
    def __init__(self, record, store, name, service, memory, handler=None, interval_s=0.05):
        # What engines hold of runs at other engines: (address, handle) to the run's id.
        self.memory, self.interval_s = memory, interval_s
        self.runs = {}
        self.order = []
        super().__init__(record, store, name, service, handler=handler or EngineHandler, slots=24)


class EngineHandler(WorkerHandler):
    def answer(self):
        body = self.body()
        if self.path == "/v1/kv-move":
            return self.move(json.loads(body))
        if self.headers.get("X-Teaselfold-Target-Instance") != self.owner.id:
            return self.send_answer(421)
        attempt = self.headers["X-Teaselfold-Attempt-Id"]
        source = self.headers.get("Kv-From")
        if source:
            address, _, handle = source.partition("/")
            if self.owner.memory.pop((self.owner.address, address, handle), None) != attempt:
                return self.send_answer(503, headers=[("X-Teaselfold-Not-Executed", "1")])
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        self.owner.began(attempt, "from event %d%s" % (first, ", Kv-From " + source if source else ""))
        last = int(self.headers["X-Teaselfold-Token-Usage"].split(",")[1]) // 4
        run = Run(self.owner, attempt, first, last, self.owner.interval_s)
        self.owner.runs[attempt] = run
        self.owner.order.append(run)
        replica = self.headers.get("X-Teaselfold-Kv-Replica")
        if replica:
            self.owner.record.note("%s keeps a replica of %s" % (replica, attempt))
            self.owner.memory[replica, replica, attempt] = attempt
        self.stream(run, first)

    do_GET = do_POST = answer

    def stream(self, run, first):
        self.send_response(200)
        for name, value in (("X-Teaselfold-Attempt-Id", run.attempt), self.signature(),
                            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")):
            self.send_header(name, value)
        self.end_headers()
        sent = first - 1
        while True:
            with run.changed:
                run.changed.wait_for(lambda: run.made > sent or run.ended_at)
                made, is_over, is_stopped = run.made, run.ended_at, run.is_stopped
            for number in range(sent + 1, made + 1):
                if not self.send_event(run, number):
                    return
            sent = made
            if is_over:
                break
        if is_stopped:
            self.close_connection = True
            return
        self.wfile.write(b"0\r\n\r\n")

    def send_event(self, run, number):
        """Returns whether the connection goes on."""
        data = b"id: %d\ndata: token %d\n\n" % (number, number)
        try:
            self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            self.wfile.flush()
            return True
        except OSError:
            # This engine does not drop a request when its connection closes.
            self.close_connection = True
            return False

    def move(self, call):
        owner, attempt = self.owner, call["id"]
        run = owner.runs.get(attempt)
        owner.record.note("%s is asked to move %s to %s, final: %s" % (owner.id, attempt, call["to"], call["final"]))
        if run is None or run.ended_at:
            return self.reply(404, b"{}")
        if call["final"] and not run.stop():
            return self.reply(404, b"{}")
        handle = "copy-of-" + attempt
        owner.memory[call["to"], owner.address, handle] = attempt
        self.reply(200, json.dumps({"session": handle, "created": run.made}).encode())


class NarrowListener(Listener):
    """Has room for few connections that it has not accepted yet."""

    request_queue_size = 1


def fill_queue(address, count=8):
    """Opens connections to a listener that accepts none, until its queue is full. Returns them."""
    host, port = address.split(":")
    opened = []
    for _ in range(count):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex((host, int(port)))
        opened.append(connection)
    return opened
