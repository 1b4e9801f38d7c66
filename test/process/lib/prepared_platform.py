"""Stand-ins for the prepared platform on loopback: its store, plain endpoints and model engines."""
import base64
import json
import socket
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


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


class Server:
    """An HTTP server on its own threads."""

    def __init__(self, handler):
        class BoundHandler(handler):
            owner = self

        ThreadingHTTPServer.request_queue_size = 512
        self.http = ThreadingHTTPServer(("127.0.0.1", 0), BoundHandler)
        # The tests disconnect during responses on purpose; the errors that follow are ignored.
        self.http.handle_error = lambda request, address: None
        self.http.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.http.server_port
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def close(self):
        self.http.shutdown()
        self.http.server_close()


class Store(Server):
    """Tables with change feeds. Answers 503 while `is_down` is set."""

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}
        self.log = []
        self.version = 0
        self.is_down = False
        super().__init__(StoreHandler)

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            text = value if isinstance(value, bytes) else json.dumps(value).encode()
            row = {"table": table, "part": "", "key": key, "value": base64.b64encode(text).decode(),
                   "rowVersion": self.version}
            self.rows[table, key] = row
            self.log.append(row)
            self.changed.notify_all()

    def delete(self, table, key):
        with self.changed:
            self.version += 1
            self.rows.pop((table, key), None)
            self.log.append({"table": table, "part": "", "key": key, "deleted": True, "rowVersion": self.version})
            self.changed.notify_all()

    def read(self, table):
        with self.changed:
            found = sorted((row for (name, _), row in self.rows.items() if name == table), key=lambda row: row["key"])
            return {"rows": found, "hasMore": False, "rowVersion": self.version, "nowMs": 0}

    def changes_since(self, table, since, wait):
        until = time.monotonic() + wait
        with self.changed:
            while True:
                changes = [row for row in self.log if row["table"] == table and row["rowVersion"] > since]
                remaining = until - time.monotonic()
                if changes or remaining <= 0 or self.is_down:
                    return {"rows": changes, "rowVersion": self.version, "nowMs": 0}
                self.changed.wait(remaining)


class StoreHandler(SilentHandler):
    def do_GET(self):
        path, _, query = self.path.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        if path == "/v1/rows-get":
            answer = self.owner.read(parameters["table"])
        else:
            answer = self.owner.changes_since(parameters["table"], int(parameters["sinceRev"]),
                                              int(parameters["waitMs"]) / 1000)
        if self.owner.is_down:
            return self.reply(503)
        self.reply(200, json.dumps(answer).encode())

    def do_POST(self):
        change = json.loads(self.body())
        for row in change["write"]:
            self.owner.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in change["remove"]:
            self.owner.delete(row["table"], row["key"])
        self.reply(200, b'{"rowVersion":1,"nowMs":0}')


class Endpoint(Server):
    """Acts as a plain endpoint and as a model engine, and records the requests it ran."""

    def __init__(self, name, event_interval=0.03, events=20):
        self.name = name
        self.event_interval = event_interval
        self.events = events
        self.ran = []
        self.streams = 0
        self.crash_event = None
        super().__init__(EndpointHandler)


class EndpointHandler(SilentHandler):
    def signature_headers(self):
        return [("X-Teaselfold-Attempt-Id", self.headers["X-Teaselfold-Attempt-Id"]),
                ("X-Teaselfold-Server-Signature", "signed-by-" + self.owner.name)]

    def answer(self):
        body = self.body()
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


def configuration(version, keys):
    """Returns a configuration with non-idempotent and streaming routes, a plain service and engines with replicas."""

    def route(name, kind, service):
        return {"name": name, "host": "host.example", "prefix": "/%s/" % name, "routeKind": kind, "timeoutMs": 20000,
                "goalMs": 1500, "priority": 0, "service": service, "maxAttempts": 1, "public": False}

    return {"version": version,
            "routes": [route("write", "non_idempotent", "plain"), route("slow", "non_idempotent", "plain"),
                       route("draft", "streaming", "engines")],
            "services": [{"name": "plain", "healthPath": "/healthz", "maxConns": 50},
                         {"name": "engines", "healthPath": "/healthz", "maxConns": 50,
                          "runtime": {"slots": 8, "kvCapacity": 30000, "migrations": True, "replicas": True,
                                      "stride": 4}}],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "team-a", "apiKeys": keys}]}


def record(endpoint, service, state="ready"):
    return {"service": service, "address": endpoint.address, "zone": "north", "slots": 8, "state": state,
            "coldLeftMs": 0, "born": 1}
