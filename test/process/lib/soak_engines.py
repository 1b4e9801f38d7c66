"""Model engines that copy their runs, hold replicas, stop, leave and refuse as the platform's engines do."""
import itertools
import json
import random
import threading
import time
from dataclasses import dataclass

from stop_endpoints import WorkingEndpoint, WorkingHandler



@dataclass
class Copy:
    """What an engine keeps of a run; it can be used once, at its target or at a source that stopped."""

    request: str
    source: str
    target: str
    is_at_target: bool = True
    is_source_stopped: bool = False
    is_used: bool = False


@dataclass
class Trouble:
    """How often and how an engine's move calls go wrong."""

    refused: float = 0
    refused_after_stop: float = 0
    slow: float = 0
    slowness: float = 0
    replica_lost: float = 0


class Memory:
    """The copies of all engines of a round."""

    def __init__(self):
        self.lock = threading.Lock()
        self.numbers = itertools.count(1)
        self.copies = {}
        self.replicas = {}

    def copy(self, request, source, target):
        """Returns the handle of the run's copy at the target."""
        with self.lock:
            for handle, copy in self.copies.items():
                if (copy.request, copy.source, copy.target, copy.is_used) == (request, source, target, False):
                    return handle
            handle = "copy-%d" % next(self.numbers)
            self.copies[handle] = Copy(request, source, target)
            return handle

    def stop_source(self, handle, is_at_target):
        self.copies[handle].is_source_stopped = True
        self.copies[handle].is_at_target = is_at_target

    def keep_replica(self, request, target):
        with self.lock:
            self.replicas[target, request] = True

    def use(self, reference, request, own):
        """Returns whether the engine at the address holds what the reference names, and uses it up."""
        address, _, handle = reference.partition("/")
        with self.lock:
            if address == own and self.replicas.pop((own, handle), False):
                return handle == request
            copy = self.copies.get(handle)
            if copy is None or copy.is_used or copy.request != request or address not in (copy.source, copy.target):
                return False
            if not (own == copy.target and copy.is_at_target) and not (own == copy.source and copy.is_source_stopped):
                return False
            copy.is_used = True
            return True


class SoakEngine(WorkingEndpoint):
    def __init__(self, name, runs, memory, slots, trouble, seed):
        self.memory = memory
        self.slots = slots
        self.trouble = trouble
        self.random = random.Random(seed)
        self.is_leaving = False
        self.moving = set()
        # What was asked of the engine beside its runs, with its time
        self.calls = []
        super().__init__(name, runs, SoakHandler)

    def open_runs(self):
        return sum(run.ended_at is None for run, _ in list(self.connections.values()))

    def note(self, request, text):
        self.calls.append((request, time.monotonic(), text))

    def leave(self, serves_for):
        """Serves on for the time, then exits with the runs that it still has."""
        self.is_leaving = True

        def exit_later():
            time.sleep(serves_for)
            self.break_off_all()
            self.http.close()

        threading.Thread(target=exit_later, daemon=True).start()

    def break_off_all(self):
        for run, connection in list(self.connections.values()):
            if run.ended_at is None:
                run.interrupt(connection, "broken off")


class SoakHandler(WorkingHandler):
    def answer(self):
        owner, request = self.owner, self.headers["X-Teaselfold-Attempt-Id"]
        if self.path == "/v1/kv-move" or self.headers["X-Teaselfold-Target-Instance"] != owner.name:
            return super().answer()
        resume = self.headers["Kv-From"]
        if resume and not owner.memory.use(resume, request, owner.address):
            return self.refuse(request, "no copy for %s" % resume)
        if not resume and owner.open_runs() >= owner.slots:
            return self.refuse(request, "full")
        if resume:
            owner.note(request, "resumed from %s after event %s" % (resume, self.headers["Last-Event-Id"]))
        replica = self.headers["X-Teaselfold-Kv-Replica"]
        if replica and owner.random.random() >= owner.trouble.replica_lost:
            owner.memory.keep_replica(request, replica)
        super().answer()

    do_GET = do_POST = answer

    def refuse(self, request, reason):
        self.owner.note(request, "refused: " + reason)
        self.body()
        self.reply(503, headers=[("X-Teaselfold-Attempt-Id", request), ("X-Teaselfold-Not-Executed", "1")])

    def events(self):
        first, padding = int(self.headers.get("Last-Event-Id", 0)) + 1, b"." * self.number("Padding")
        return [event(number, padding) for number in range(first, self.number("Pieces") + 1)]

    def signature_headers(self):
        return super().signature_headers() + [("Server-Leaving", "1")] * self.owner.is_leaving

    def move(self, call):
        owner, request = self.owner, call["id"]
        if request in owner.moving:
            return self.reply(409)
        owner.moving.add(request)
        try:
            status, body = self.copy_run(request, call["to"], call["final"])
        finally:
            owner.moving.discard(request)
        owner.note(request, "move to %s final=%s: %d %s" % (call["to"], call["final"], status, body))
        self.reply(status, json.dumps(body).encode())

    def copy_run(self, request, target, is_final):
        owner, draws = self.owner, self.owner.random
        run, connection = owner.connections.get(request, (None, None))
        if run is None or run.ended_at is not None:
            return 404, {}
        is_refused = draws.random() < (owner.trouble.refused_after_stop if is_final else owner.trouble.refused)
        if is_refused and not is_final:
            return 503, {}
        handle = owner.memory.copy(request, owner.address, target)
        if is_final:
            if not run.interrupt(connection, "stopped"):
                return 404, {}
            owner.memory.stop_source(handle, not is_refused or draws.random() < 0.5)
        time.sleep(owner.trouble.slowness if draws.random() < owner.trouble.slow else run.copy_time)
        return (503 if is_refused else 200), {"session": handle, "created": 0}


def event(number, padding):
    return b"id: %d\ndata: token%s\n\n" % (number, padding)
