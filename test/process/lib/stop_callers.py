"""Callers that keep on sending requests until the gateway is gone, and what they see."""
import http.client
import itertools
import json
import socket
import threading
import time
from dataclasses import dataclass

from gateway_session import KEY
from stop_endpoints import line_of

LONGEST_WAIT_S = 25
TOKENS_PER_EVENT = 4
# A stream ends this long before its deadline, so that a deadline never cuts a response that has begun.
SPARE_TIME_S = 4


@dataclass
class Order:
    """What a request asks of its endpoint, and how its caller sends it."""

    route: str
    before: float
    pieces: int
    interval: float
    framing: str
    deadline: float
    body: list
    body_pause: float
    is_chunked: bool
    # Of the stream's run to another engine, each time.
    copy_time: float

    def header_fields(self, request):
        fields = {"Host": "host.example", "X-Teaselfold-Attempt-Id": request, "X-Api-Key": KEY,
                  "X-Teaselfold-Deadline-Ms": str(int(self.deadline * 1000)), "X-Work-Framing": self.framing,
                  "X-Work-Before-Ms": str(int(self.before * 1000)), "X-Work-Pieces": str(self.pieces),
                  "X-Work-Interval-Ms": str(int(self.interval * 1000)),
                  "X-Work-Copy-Ms": str(int(self.copy_time * 1000))}
        if self.route == "draft":
            fields["X-Teaselfold-Token-Usage"] = "100,%d" % (self.pieces * TOKENS_PER_EVENT)
            fields["X-Teaselfold-Length-Hint"] = str(self.pieces * TOKENS_PER_EVENT)
        return fields

    def whole_body(self, request, endpoint):
        if self.route == "draft":
            return b"".join(b"id: %d\ndata: token\n\n" % (number + 1) for number in range(self.pieces))
        return b"".join(line_of(request, endpoint, number) for number in range(self.pieces))


class Orders:
    """Draws orders from a seed. `longest_stream` bounds the time of a stream, and of a call before its response."""

    def __init__(self, random, longest_stream):
        self.random = random
        self.longest_stream = longest_stream
        self.kinds = [self.call, self.call, self.short_stream, self.stream]

    def draw(self):
        return self.random.choice(self.kinds)()

    def call(self):
        random = self.random
        before = random.choice([0, 0.02, 0.2, 1, 2.5, min(random.uniform(2, 9), self.longest_stream)])
        pieces, interval = random.randint(1, 4), 0.05
        work = before + pieces * interval
        # A short deadline ends before the response begins.
        deadline = before * 0.6 if before >= 0.2 and random.random() < 0.2 else work + random.choice([2, 4, 15])
        return self.order(random.choice(["write", "write", "read"]), before, pieces, interval,
                          random.choice(["length", "chunks", "none"]), deadline)

    def short_stream(self):
        return self.stream_of(self.random.uniform(0.1, 0.8))

    def stream(self):
        return self.stream_of(self.random.uniform(0.5, self.longest_stream))

    def stream_of(self, time_needed):
        interval = self.random.choice([0.02, 0.05, 0.1])
        deadline = time_needed + SPARE_TIME_S + self.random.choice([0, 0, 10])
        return self.order("draft", self.random.choice([0, 0.05, 0.3]), max(int(time_needed / interval), 1), interval,
                          self.random.choice(["chunks", "chunks", "none"]), min(deadline, 19))

    def order(self, route, before, pieces, interval, framing, deadline):
        is_chunked = self.random.random() < 0.4
        body = [b"x" * self.random.randint(1, 2000) for _ in range(self.random.randint(1, 3) if is_chunked else 1)]
        # The longest pause is longer than the time that the gateway gives a request to arrive.
        pause = self.random.choice([0, 0, 0.01, 0.1, 0.1, 0.4]) if self.random.random() < 0.98 else 3.5
        return Order(route, before, pieces, interval, framing, deadline, body, pause, is_chunked,
                     self.random.choice([0.01, 0.01, 0.01, 0.05, 0.3]))


@dataclass
class Sent:
    """A request and what its caller saw of it."""

    request: str
    order: Order
    is_connection_new: bool
    began_at: float
    # Of the last byte; unset if it could not be sent whole.
    sent_at: float | None = None
    status: int | None = None
    ended_at: float | None = None
    is_whole: bool = False
    is_signed: bool = False
    # What an answer of the gateway says: no, yes or unknown
    run: str = ""
    problem: str = ""

    def is_completed(self):
        return self.is_whole and self.is_signed and self.status == 200

    def is_answered(self):
        return self.is_completed() or (self.is_whole and not self.is_signed)


class Caller(threading.Thread):
    """Sends one request after the other, on a connection that it keeps or on a new one each time."""

    numbers = itertools.count(1)

    def __init__(self, address, random, orders, gone):
        super().__init__(daemon=True)
        self.host, self.port = address.split(":")
        self.random = random
        self.orders = orders
        self.keeps_connection = random.random() < 0.7
        self.gone = gone
        self.stopping = threading.Event()
        self.connection = None
        self.sent = []

    def run(self):
        while not self.gone.is_set() and not self.stopping.is_set():
            if self.connect():
                self.send()
            self.stopping.wait(self.random.choice([0, 0.01, 0.1, 0.3]))

    def connect(self):
        """Returns false while nothing listens."""
        self.is_connection_new = self.connection is None or self.connection.sock is None or not self.keeps_connection
        if not self.is_connection_new:
            return True
        if self.connection:
            self.connection.close()
        self.connection = http.client.HTTPConnection(self.host, self.port, timeout=LONGEST_WAIT_S)
        try:
            self.connection.connect()
            return True
        except OSError:
            self.gone.wait(0.02)
            return False

    def send(self):
        order = self.orders.draw()
        sent = Sent("r%d" % next(self.numbers), order, self.is_connection_new, time.monotonic())
        self.sent.append(sent)
        try:
            self.write(sent)
            self.read(sent)
        except (OSError, ValueError, http.client.HTTPException) as problem:
            sent.problem = sent.problem or type(problem).__name__
            self.connection.close()
        sent.ended_at = time.monotonic()

    def write(self, sent):
        order = sent.order
        body = self.pieces(order) if order.is_chunked else order.body[0]
        try:
            self.connection.request("POST", "/%s/1" % order.route, body, order.header_fields(sent.request),
                                    encode_chunked=order.is_chunked)
            sent.sent_at = time.monotonic()
        except OSError as problem:
            # An early answer may precede the end of the connection.
            sent.problem = "not sent: " + type(problem).__name__
            self.connection.sock.settimeout(1)

    def pieces(self, order):
        for piece in order.body:
            yield piece
            time.sleep(order.body_pause)

    def read(self, sent):
        answer = self.connection.getresponse()
        sent.status = answer.status
        signature = answer.headers.get("X-Teaselfold-Server-Signature", "")
        sent.is_signed = bool(signature)
        body = answer.read()
        if sent.is_signed:
            sent.is_whole = body == sent.order.whole_body(sent.request, signature.removeprefix("signed-by-"))
            sent.problem = "" if sent.is_whole else "wrong body of %d bytes" % len(body)
            return
        sent.is_whole = True
        sent.run = json.loads(body)["error"]["run"]
