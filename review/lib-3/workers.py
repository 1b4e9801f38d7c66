"""Small stand-ins of workers on loopback. Each keeps to what the users' pages let a worker do."""
import threading
import time

from deployment import entry, unix_ms
from prepared_platform import Server, SilentHandler

# Three heartbeats, after which the store drops the entry of a silent worker.
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S


class Worker(Server):
    """Runs requests for `work_s` and records those that it began to run."""

    def __init__(self, record, store, name, service, work_s=0.05, handler=None, slots=8):
        self.record, self.store, self.service, self.work_s, self.slots = record, store, service, work_s, slots
        self.name, self.starts = name, 0
        self.id, self.born = name, unix_ms()
        self.lock = threading.Lock()
        self.ran = []
        super().__init__(handler or WorkerHandler)
        self.write_entry()

    def write_entry(self):
        self.store.put("servers", self.id, entry(self.service, self.address, self.born, slots=self.slots))

    def began(self, attempt, text):
        self.ran.append((time.monotonic(), attempt))
        self.record.note("%s begins to run %s %s" % (self.id, attempt, text))

    def crash(self, listener, down_s):
        """Ends at once and starts again later as a new incarnation with a new id, at the same address."""
        with self.lock:
            if listener is not self.http:
                return
            self.http, before = None, self.id
        self.record.note("%s crashes" % before)
        listener.close()
        threading.Thread(target=self.return_later, args=(before, down_s), daemon=True).start()

    def return_later(self, before, down_s):
        expiry = time.monotonic() + EXPIRY_S
        time.sleep(down_s)
        self.starts += 1
        self.id, self.born = "%s-%d" % (self.name, self.starts), unix_ms()
        self.listen()
        self.write_entry()
        self.record.note("%s starts" % self.id)
        time.sleep(max(0, expiry - time.monotonic()))
        self.store.delete("servers", before)


class WorkerHandler(SilentHandler):
    def send_answer(self, status, body=b"", headers=()):
        self.reply(status, body, [("X-Teaselfold-Attempt-Id", self.headers.get("X-Teaselfold-Attempt-Id", "")), *headers])

    def signature(self):
        return ("X-Teaselfold-Server-Signature", "signed-by-" + self.owner.id)

    def answer(self):
        body = self.body()
        if self.headers.get("X-Teaselfold-Target-Instance") != self.owner.id:
            return self.send_answer(421)
        self.run(body)

    def run(self, body):
        self.owner.began(self.headers["X-Teaselfold-Attempt-Id"], "%s %s" % (self.command, self.path))
        time.sleep(self.owner.work_s)
        self.send_answer(200, b"x" * 800, [self.signature()])

    do_GET = do_POST = answer
