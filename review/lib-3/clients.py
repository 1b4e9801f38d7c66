"""Clients that keep to the users' pages."""
import http.client
import itertools
import threading
import time

from deployment import HOST, KEY

attempts = itertools.count(1)


def headers_of(attempt, deadline_ms, key=KEY, **more):
    return {"Host": HOST, "X-Teaselfold-Attempt-Id": attempt, "X-Teaselfold-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": key, **more}


def call(record, gateway, method, path, body=None, deadline_ms=2000, prefix="a", note=True, headers=()):
    """Sends one client attempt on a new connection. Returns its id and status; status 0 without a complete answer."""
    attempt = "%s-%05d" % (prefix, next(attempts))
    connection = gateway.connect(deadline_ms / 1000 + 1)
    if note:
        record.note("client sends %s %s %s to %s" % (attempt, method, path, gateway.name))
    try:
        connection.request(method, path, body, {**headers_of(attempt, deadline_ms), **dict(headers)})
        answer = connection.getresponse()
        answer.read()
        status = answer.status
    except (OSError, http.client.HTTPException) as problem:
        status = 0
        record.note("client gets no answer to %s: %r" % (attempt, problem))
    finally:
        connection.close()
    if note and status:
        record.note("client gets %d for %s" % (status, attempt))
    return attempt, status


class Stream(threading.Thread):
    """Calls a function at a steady rate, each call on a thread of its own."""

    def __init__(self, rate, function):
        super().__init__(daemon=True)
        self.rate, self.function = rate, function
        self.stopping = threading.Event()
        self.calls = []
        self.start()

    def run(self):
        following = time.monotonic()
        for number in itertools.count():
            following += 1 / self.rate
            if self.stopping.wait(max(0, following - time.monotonic())):
                return
            thread = threading.Thread(target=self.function, args=(number,), daemon=True)
            self.calls.append(thread)
            thread.start()

    def stop(self):
        self.stopping.set()
        self.join()
        for thread in self.calls:
            thread.join(5)
