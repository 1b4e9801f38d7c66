"""Callers on sockets of their own: bodies in pieces and segments, Expect: 100-continue, slow readers of streams."""
import http.client
import itertools
import json
import select
import socket
import threading
import time
from dataclasses import dataclass

from gateway_session import KEY
from soak_engines import event
from stop_callers import Order, Sent

# A caller gives a stream up after a longer gap.
LONGEST_GAP_S = 7.2
LONG_STREAM_EVENTS = 233
CONTINUE_WAIT_S = 1
SMALL_BUFFER = 4096


@dataclass
class SoakOrder(Order):
    key: str = KEY
    expects: bool = False
    # The number of segments in which each piece of the body is sent
    segments: int = 1
    padding: int = 0
    read_pause: float = 0

    def header_fields(self, request):
        fields = super().header_fields(request) | {"X-Work-Padding": str(self.padding), "X-Api-Key": self.key}
        if self.route == "draft":
            fields |= {"X-Teaselfold-Model": "m", "X-Teaselfold-Token-Usage": "3079,%d" % (self.pieces * 5),
                       "X-Teaselfold-Prefix-Hash": "5c1e07a2:79,%08x:3000" % (hash(request) & 0xffffffff)}
        if self.expects:
            fields["Expect"] = "100-continue"
        return fields

    def whole_body(self, request, endpoint):
        if self.route != "draft":
            return super().whole_body(request, endpoint)
        return b"".join(event(number + 1, b"." * self.padding) for number in range(self.pieces))


class SoakOrders:
    def __init__(self, draws, keys):
        self.draws = draws
        self.keys = keys
        self.kinds = [self.call, self.check, self.draft, self.draft, self.draft]

    def draw(self):
        return self.draws.choice(self.kinds)()

    def call(self):
        draws = self.draws
        return self.order(draws.choice(["write", "write", "read"]), draws.choice([0.03, 0.03, 0.2, 1]),
                          draws.randint(1, 4), 0.02, draws.choice(["length", "chunks", "none"]), 4)

    def check(self):
        return self.order("draft", 0.02, 3, 0.04, "chunks", 6)

    def draft(self):
        draws = self.draws
        events = LONG_STREAM_EVENTS if draws.random() < 0.6 else draws.randint(20, 400)
        return self.order("draft", draws.choice([0.02, 0.2, 1]), events, draws.uniform(0.03, 0.043),
                          draws.choice(["chunks", "chunks", "chunks", "none"]), 39)

    def order(self, route, before, pieces, interval, framing, deadline):
        draws = self.draws
        is_chunked = draws.random() < 0.5
        body = [b"x" * draws.randint(1, 4000) for _ in range(draws.randint(1, 4) if is_chunked else 1)]
        is_slow = draws.random() < 0.1
        return SoakOrder(route, before, pieces, interval, framing, deadline, body,
                         draws.choice([0, 0, 0.01, 0.05, 0.2]), is_chunked, draws.choice([0.01, 0.05, 0.3]),
                         draws.choice(self.keys), draws.random() < 0.15, draws.choice([1, 1, 2, 5]),
                         draws.choice([500, 3000]) if is_slow and route == "draft" else 0,
                         draws.choice([0.3, 1, 2]) if is_slow else 0)


@dataclass
class SoakSent(Sent):
    incarnation: object = None
    deadline_at: float = 0
    gave_up: bool = False
    received: int = 0


class SoakCaller(threading.Thread):
    """Keeps to its gateway until that is gone and after, or follows the load balancer."""

    numbers = itertools.count(1)

    def __init__(self, balancer, gateway, draws, orders, over):
        super().__init__(daemon=True)
        self.balancer = balancer
        self.home = gateway
        self.draws = draws
        self.orders = orders
        self.over = over
        self.follows = draws.random() < 0.5
        self.keeps_connection = draws.random() < 0.7
        self.socket = self.incarnation = None
        self.sent = []

    def run(self):
        while not self.over.is_set():
            self.send()
            self.over.wait(self.draws.choice([0, 0.01, 0.1, 0.3, 0.3, self.draws.uniform(0, 1.5)]))
        self.close()

    def close(self):
        if self.socket:
            self.socket.close()
            self.socket = None

    def connect(self, is_slow):
        gateway = self.balancer.choose(self.draws) if self.follows else self.home
        self.incarnation = gateway.current
        host, port = gateway.callers.split(":")
        self.socket = socket.socket()
        if is_slow:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.socket.settimeout(1)
        try:
            self.socket.connect((host, int(port)))
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return True
        except OSError:
            self.close()
            self.over.wait(0.05)
            return False

    def send(self):
        order = self.orders.draw()
        is_new = self.socket is None or not self.keeps_connection or order.read_pause > 0
        if is_new:
            self.close()
            if not self.connect(order.read_pause > 0):
                return
        now = time.monotonic()
        sent = SoakSent("s%d" % next(self.numbers), order, is_new, now, incarnation=self.incarnation,
                        deadline_at=now + order.deadline)
        self.sent.append(sent)
        self.socket.settimeout(LONGEST_GAP_S)
        try:
            self.write(sent)
            self.read(sent)
        except TimeoutError:
            sent.problem, sent.gave_up = "caller gave up", True
            self.close()
        except (OSError, ValueError, http.client.HTTPException) as problem:
            sent.problem = sent.problem or "%s: %s" % (type(problem).__name__, problem)
            self.close()
        sent.ended_at = time.monotonic()

    def write(self, sent):
        order = sent.order
        fields = order.header_fields(sent.request)
        if order.is_chunked:
            fields["Transfer-Encoding"] = "chunked"
            pieces = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in order.body] + [b"0\r\n\r\n"]
        else:
            fields["Content-Length"] = str(len(order.body[0]))
            pieces = order.body
        head = "POST /%s/1 HTTP/1.1\r\n%s\r\n" % (
            order.route, "".join("%s: %s\r\n" % field for field in fields.items()))
        try:
            self.write_segments(order, head.encode())
            if order.expects and not self.may_continue():
                sent.sent_at = time.monotonic()
                return
            for piece in pieces:
                self.write_segments(order, piece)
                time.sleep(order.body_pause if order.is_chunked else 0)
            sent.sent_at = time.monotonic()
        except OSError as problem:
            # An early answer may precede the end of the connection.
            sent.problem = "not sent: %s" % problem

    def write_segments(self, order, data):
        size = max(len(data) // order.segments, 1)
        for begin in range(0, len(data), size):
            self.socket.sendall(data[begin:begin + size])
            if order.segments > 1:
                time.sleep(order.body_pause / order.segments)

    def may_continue(self):
        """Waits for the interim answer. Returns false if a final one comes instead."""
        if not select.select([self.socket], [], [], CONTINUE_WAIT_S)[0]:
            return True
        if not self.socket.recv(12, socket.MSG_PEEK).startswith(b"HTTP/1.1 100"):
            return False
        interim = b""
        while not interim.endswith(b"\r\n\r\n"):
            byte = self.socket.recv(1)
            if not byte:
                raise ConnectionResetError("closed in the interim answer")
            interim += byte
        return True

    def read(self, sent):
        answer = http.client.HTTPResponse(self.socket, method="POST")
        answer.begin()
        sent.status = answer.status
        signature = answer.headers.get("X-Teaselfold-Server-Signature", "")
        sent.is_signed = bool(signature)
        body = self.read_body(sent, answer)
        if sent.is_signed and sent.status == 200:
            expected = sent.order.whole_body(sent.request, signature.removeprefix("signed-by-"))
            sent.is_whole = body == expected
            if not sent.is_whole:
                sent.problem = "wrong body of %d bytes, %d expected" % (len(body), len(expected))
        else:
            sent.is_whole = True
            sent.run = "" if sent.is_signed else json.loads(body)["error"]["run"]
        if answer.will_close or answer.headers.get("Connection", "").lower() == "close":
            self.close()

    def read_body(self, sent, answer):
        body = b""
        while True:
            piece = answer.read1(65536)
            if not piece:
                # A short body with a length ends without an exception here.
                if answer.length:
                    raise http.client.IncompleteRead(body, answer.length)
                return body
            body += piece
            sent.received = len(body)
            if sent.order.read_pause:
                time.sleep(self.draws.uniform(0, sent.order.read_pause))
