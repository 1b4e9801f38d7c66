"""Stand-ins for the prepared platform on loopback: its store, plain endpoints and model engines."""
import base64
import io
import json
import socket
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

RESTART_TIME_S = 2
# At which a store that is slow writes.
BYTE_INTERVAL_S = 0.05


class SilentHandler(BaseHTTPRequestHandler):
    """Keeps connections open between requests and writes no log."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class Listener(ThreadingHTTPServer):
    """Accepts connections until it is closed, and closes them with itself."""

    request_queue_size = 512

    def __init__(self, address, handler):
        self.connections = set()
        super().__init__(address, handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def process_request(self, request, address):
        self.connections.add(request)
        super().process_request(request, address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, address):
        """The tests disconnect during responses on purpose; the errors that follow are ignored."""

    def close(self):
        self.socket.shutdown(socket.SHUT_RDWR)
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:  # already closed
                pass


class Server:
    """An HTTP server on its own threads."""

    def __init__(self, handler):
        self.handler = type("BoundHandler", (handler,), {"owner": self})
        # Keeps the port from other processes while the server does not listen.
        self.reservation = socket.socket()
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.reservation.getsockname()[1]
        self.listen()

    def listen(self):
        self.http = Listener(self.reservation.getsockname(), self.handler)


def now_ms():
    return int(time.monotonic() * 1000)


class Store(Server):
    """Tables with change feeds. Answers 503 while `is_down` is set, and in the way that `manner` names."""

    def __init__(self):
        self.changed = threading.Condition()
        self.manner = "healthy"
        self.rows = {}
        self.log = []
        self.version = 0
        self.is_down = False
        self.era = 1
        super().__init__(StoreHandler)

    def behave(self, manner):
        """Changes how the store treats its calls. `closed` ends all connections and accepts no more."""
        with self.changed:
            before, self.manner = self.manner, manner
            self.changed.notify_all()
        if manner == "closed" and before != "closed":
            self.http.close()
        if before == "closed" and manner != "closed":
            self.listen()

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.set_row(table, key, value if isinstance(value, bytes) else json.dumps(value).encode())
            self.changed.notify_all()

    def copy(self):
        with self.changed:
            return dict(self.rows), self.version

    def restore(self, copy):
        """Comes back from an older copy: what was written since is gone, and versions are given out again."""
        with self.changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.log = sorted(self.rows.values(), key=lambda row: row["rowVersion"])
            self.era += 1
            self.changed.notify_all()

    def set_row(self, table, key, text):
        row = {"table": table, "part": "", "key": key, "value": base64.b64encode(text).decode(),
               "rowVersion": self.version}
        self.rows[table, key] = row
        self.log.append(row)

    def value(self, table, key):
        """Returns a row's value as JSON; None without the row."""
        with self.changed:
            row = self.rows.get((table, key))
            return json.loads(base64.b64decode(row["value"])) if row else None

    def transact(self, change):
        """Performs a transaction of writes. Returns False if a row has another version than expected."""
        with self.changed:
            for row in change["expect"]:
                known = self.rows.get((row["table"], row["key"]), {"rowVersion": 0})
                if known["rowVersion"] != row["rowVersion"]:
                    return False
            self.version += 1
            for row in change["write"]:
                self.set_row(row["table"], row["key"], base64.b64decode(row["value"]))
            self.changed.notify_all()
            return True

    def delete(self, table, key):
        with self.changed:
            self.version += 1
            self.rows.pop((table, key), None)
            self.log.append({"table": table, "part": "", "key": key, "deleted": True, "rowVersion": self.version})
            self.changed.notify_all()

    def read(self, table):
        with self.changed:
            found = sorted((row for (name, _), row in self.rows.items() if name == table), key=lambda row: row["key"])
            return {"rows": found, "hasMore": False, "rowVersion": self.version, "nowMs": now_ms()}

    def changes_since(self, table, since, wait):
        until = time.monotonic() + wait
        with self.changed:
            if since > self.version:
                return None
            while True:
                changes = [row for row in self.log if row["table"] == table and row["rowVersion"] > since]
                remaining = until - time.monotonic()
                is_held = self.manner == "holding"
                if (changes or remaining <= 0 or self.is_down) and not is_held:
                    return {"rows": changes, "rowVersion": self.version, "nowMs": now_ms()}
                self.changed.wait(None if is_held else remaining)


class StoreHandler(SilentHandler):
    def reply(self, status, body=b"", headers=()):
        headers = [*headers, ("Store-Era", str(self.owner.era))]
        replies = {"silent": self.reply_after_silence, "slow": self.reply_bytewise}
        replies.get(self.owner.manner, super().reply)(status, body, headers)

    def reply_after_silence(self, status, body, headers):
        with self.owner.changed:
            self.owner.changed.wait_for(lambda: self.owner.manner != "silent")
        super().reply(status, body, headers)

    def reply_bytewise(self, status, body, headers):
        connection, self.wfile = self.wfile, io.BytesIO()
        super().reply(status, body, headers)
        answer, self.wfile = self.wfile.getvalue(), connection
        for byte in answer:
            self.wfile.write(bytes([byte]))
            time.sleep(BYTE_INTERVAL_S)

    def do_GET(self):
        path, _, query = self.path.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        if path == "/v1/rows-get":
            answer = self.owner.read(parameters["table"])
        else:
            answer = self.owner.changes_since(parameters["table"], int(parameters["sinceRev"]),
                                              int(parameters["waitMs"]) / 1000)
        if answer is None:
            return self.reply(410)
        if self.owner.is_down:
            return self.reply(503)
        self.reply(200, json.dumps(answer).encode())

    def do_POST(self):
        change = json.loads(self.body())
        if self.owner.is_down:
            return self.reply(503)
        if not self.owner.transact(change):
            return self.reply(412, json.dumps({"rows": [], "rowVersion": self.owner.version}).encode())
        for row in change["remove"]:
            self.owner.delete(row["table"], row["key"])
        self.reply(200, json.dumps({"rowVersion": self.owner.version, "nowMs": now_ms()}).encode())


class Endpoint(Server):
    """Acts as a plain endpoint and as a model engine, and records the requests it ran."""

    def __init__(self, name, event_interval=0.03, events=20, handler=None):
        self.name = name
        self.event_interval = event_interval
        self.events = events
        self.ran = []
        self.streams = 0
        self.crash_event = None
        super().__init__(handler or EndpointHandler)


class EndpointHandler(SilentHandler):
    def signature_headers(self):
        return [("X-Teaselfold-Attempt-Id", self.headers["X-Teaselfold-Attempt-Id"]),
                ("X-Teaselfold-Server-Signature", "signed-by-" + self.owner.name)]

    def answer(self):
        body = self.body()
        if self.path == "/v1/kv-move":  # no run outlives its connection here
            return self.reply(404)
        if self.headers["X-Teaselfold-Target-Instance"] != self.owner.name:
            return self.reply(421, headers=[("X-Teaselfold-Instance-Id", self.owner.name)])
        self.owner.ran.append((self.command, self.path, body, dict(self.headers)))
        if self.path.startswith("/draft/"):
            return self.stream()
        if self.path.startswith("/slow/"):
            time.sleep(1.5)
        self.reply(200, b"from " + self.owner.name.encode() + b" " + body, self.signature_headers())

    do_GET = do_POST = answer

    def stream(self):
        self.send_response(200)
        for name, value in self.signature_headers() + [("Content-Type", "text/event-stream"),
                                                       ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()
        self.owner.streams += 1
        try:
            self.write_events(int(self.headers.get("Last-Event-Id", 0)))
        except OSError:
            pass
        finally:
            self.owner.streams -= 1

    def write_events(self, last):
        for event in range(last + 1, self.owner.events + 1):
            if event == self.owner.crash_event:
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
                return
            data = b"id: %d\ndata: token %d\n\n" % (event, event)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            self.wfile.flush()
            time.sleep(self.owner.event_interval)
        self.wfile.write(b"0\r\n\r\n")


class CrashingEngine(Endpoint):
    """A model engine that crashes before the first event of a response to a prompt with a certain part."""

    def __init__(self, name, zone, store, events, deadly_part):
        self.zone = zone
        self.store = store
        self.deadly_part = deadly_part
        self.lock = threading.Lock()
        self.crashes = []
        self.deadly_requests = []
        super().__init__(name, events=events, handler=CrashingEngineHandler)
        self.register()

    def register(self):
        self.store.put("servers", self.name, record(self, "engines", zone=self.zone, born=int(time.time() * 1000)))

    def crash(self, listener):
        """Crashes and starts again, unless the listener is that of a previous incarnation."""
        with self.lock:
            if listener is not self.http:
                return
            self.http = None
        self.crashes.append(time.monotonic())
        listener.close()
        time.sleep(RESTART_TIME_S)
        with self.lock:
            self.listen()
        self.register()


class CrashingEngineHandler(EndpointHandler):
    def write_events(self, last):
        prompt = self.headers.get("X-Teaselfold-Prefix-Hash", "")
        if self.owner.deadly_part not in [part.split(":")[0] for part in prompt.split(",")]:
            return super().write_events(last)
        self.owner.deadly_requests.append((time.monotonic(), prompt))
        self.owner.crash(self.server)


def configuration(version, keys):
    """Returns a configuration with routes of each kind, a plain service and engines with replicas."""

    def route(name, kind, service, attempts=1):
        return {"name": name, "host": "host.example", "prefix": "/%s/" % name, "routeKind": kind, "timeoutMs": 20000,
                "goalMs": 1500, "priority": 0, "service": service, "maxAttempts": attempts, "public": False}

    return {"version": version,
            "routes": [route("write", "non_idempotent", "plain"), route("slow", "non_idempotent", "plain"),
                       route("draft", "streaming", "engines"), route("read", "idempotent", "plain", attempts=3)],
            "services": [{"name": "plain", "healthPath": "/healthz", "maxConns": 50},
                         {"name": "engines", "healthPath": "/healthz", "maxConns": 50,
                          "runtime": {"slots": 8, "kvCapacity": 30000, "migrations": True, "replicas": True,
                                      "stride": 4}}],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "team-a", "apiKeys": keys}]}


def record(endpoint, service, state="ready", zone="north", born=1):
    return {"service": service, "address": endpoint.address, "zone": zone, "version": "v1", "slots": 8,
            "state": state, "coldLeftMs": 0, "seqNo": 1, "born": born}
