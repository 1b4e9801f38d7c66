"""Plain endpoints and model engines whose work is stated by each request, and the runs that they record."""
import json
import select
import socket
import threading
import time
from dataclasses import dataclass, field

from prepared_platform import Endpoint, EndpointHandler

LONGEST_WAIT_S = 20


class RunEnded(Exception):
    """The run's connection ended before its response did."""


@dataclass
class Run:
    request: str
    endpoint: str
    began_at: float
    framing: str
    copy_time: float
    ended_at: float | None = None
    # whole, stopped for a move, broken off by the endpoint, or abandoned by the gateway
    end: str = "in progress"
    interruption: str = ""
    lock: threading.Lock = field(default_factory=threading.Lock)
    ended: threading.Event = field(default_factory=threading.Event)

    def finish(self, is_whole):
        with self.lock:
            self.ended_at = time.monotonic()
            self.end = "whole" if is_whole else self.interruption or "abandoned"
        self.ended.set()

    def interrupt(self, connection, reason):
        """Ends the run and its connection. Returns false if it is over already."""
        with self.lock:
            if self.ended_at is not None:
                return False
            self.interruption = reason
            connection.shutdown(socket.SHUT_RDWR)
        return self.ended.wait(LONGEST_WAIT_S)


class WorkingEndpoint(Endpoint):
    """Does the work that the fields X-Work-* of a request state."""

    def __init__(self, name, runs, handler=None):
        # Of all endpoints, in the order of their beginning.
        self.runs = runs
        self.connections = {}
        super().__init__(name, handler=handler or WorkingHandler)

    def break_off(self):
        """Ends the connections of runs, as a crash does, but for responses that it would complete."""
        for run, connection in list(self.connections.values()):
            if run.ended_at is None and run.framing != "none":
                run.interrupt(connection, "broken off")


class WorkingHandler(EndpointHandler):
    def answer(self):
        body = self.body()
        if self.path == "/v1/kv-move":
            return self.move(json.loads(body))
        if self.headers["X-Teaselfold-Target-Instance"] != self.owner.name:
            return self.reply(421, headers=[("X-Teaselfold-Instance-Id", self.owner.name)])
        run = Run(self.headers["X-Teaselfold-Attempt-Id"], self.owner.name, time.monotonic(),
                  self.headers.get("X-Work-Framing", "length"), self.number("Copy-Ms") / 1000)
        self.owner.runs.append(run)
        self.owner.connections[run.request] = run, self.connection
        is_whole = False
        try:
            self.work(run)
            is_whole = True
        except (RunEnded, OSError):
            self.close_connection = True
        finally:
            run.finish(is_whole)

    do_GET = do_POST = answer

    def number(self, name):
        return int(self.headers.get("X-Work-" + name, 0))

    def work(self, run):
        pieces = self.events() if self.path.startswith("/draft/") else self.lines(run)
        self.pause(self.number("Before-Ms") / 1000)
        self.send_head(run.framing, pieces)
        for index, piece in enumerate(pieces):
            if index:
                self.pause(self.number("Interval-Ms") / 1000)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece) if run.framing == "chunks" else piece)
        if run.framing == "chunks":
            self.wfile.write(b"0\r\n\r\n")
        self.close_connection = self.close_connection or run.framing == "none"

    def events(self):
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        return [b"id: %d\ndata: token\n\n" % number for number in range(first, self.number("Pieces") + 1)]

    def lines(self, run):
        return [line_of(run.request, run.endpoint, number) for number in range(self.number("Pieces"))]

    def send_head(self, framing, pieces):
        fields = {"length": ("Content-Length", str(sum(map(len, pieces)))), "chunks": ("Transfer-Encoding", "chunked"),
                  "none": ("Connection", "close")}
        is_stream = self.path.startswith("/draft/")
        self.send_response(200)
        for name, value in self.signature_headers() + [fields[framing]]:
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream" if is_stream else "text/plain")
        self.end_headers()

    def pause(self, seconds):
        """Returns after the time, or raises when the gateway or a move ends the connection."""
        readable, _, _ = select.select([self.connection], [], [], seconds)
        if readable and not self.connection.recv(1, socket.MSG_PEEK):
            raise RunEnded

    def move(self, call):
        """Copies a run, which then goes on where the gateway sends it; the final call stops it here."""
        run, connection = self.owner.connections.get(call["id"], (None, None))
        if run is None or run.ended_at is not None:
            return self.reply(404)
        time.sleep(run.copy_time)
        if call["final"] and not run.interrupt(connection, "stopped"):
            return self.reply(404)
        self.reply(200, json.dumps({"session": "copy-" + call["id"]}).encode())


def line_of(request, endpoint, number):
    return b"%s of %s at %s\n" % (str(number).encode(), request.encode(), endpoint.encode())
