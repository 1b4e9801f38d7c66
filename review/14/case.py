"""A request that crashes workers comes again and again in a quiet hour."""
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))
from clients import call  # noqa: E402
from deployment import BOUNDS, TROUBLE, Gateway, Store, configuration, play, route, wait_until  # noqa: E402
from workers import Worker, WorkerHandler  # noqa: E402

WORKERS, GATEWAYS = 4, 2
ROUNDS = 12
# In each round the deadly request comes, and a sound one when the workers are back.
ROUND_S, SOUND_AFTER_S = 6.5, 3.25
DOWN_S = 2
CONTACT_S = BOUNDS["contactMs"] / 1000
ALLOWED = 3


class CrashingHandler(WorkerHandler):
    def run(self, body):
        if self.path.endswith("/deadly"):
            self.owner.began(self.headers["X-Teaselfold-Attempt-Id"], "the deadly request")
            self.owner.deadly.append((time.monotonic(), self.headers["X-Teaselfold-Attempt-Id"]))
            self.close_connection = True
            return self.owner.crash(self.server, DOWN_S)
        super().run(body)


def case(record):
    store = Store()
    deadly = []
    for number in range(WORKERS):
        Worker(record, store, "app-%d" % number, "app", handler=CrashingHandler).deadly = deadly
    store.put("op", "config", configuration(
        [route("read", "idempotent", "app", attempts=2, goal_ms=150, timeout_ms=1000)],
        [{"name": "app", "healthPath": "/healthz", "maxConns": 96}]))
    gateways = [Gateway(record, store, number + 1) for number in range(GATEWAYS)]
    try:
        for gateway in gateways:
            wait_until("%s is ready" % gateway.name, gateway.is_ready)
        # In touch: nothing has happened to the gateways for contactMs.
        time.sleep(CONTACT_S)
        return run(record, gateways, deadly)
    finally:
        for gateway in gateways:
            gateway.end()


def run(record, gateways, deadly):
    sound, poisoned = collections.Counter(), collections.Counter()
    for number in range(ROUNDS):
        begun = time.monotonic()
        gateway = gateways[number % GATEWAYS]
        if TROUBLE:
            poisoned[call(record, gateway, "GET", "/read/deadly", deadline_ms=1000, prefix="deadly")[1]] += 1
        time.sleep(max(0, begun + SOUND_AFTER_S - time.monotonic()))
        sound[call(record, gateway, "GET", "/read/%d" % number, deadline_ms=1000, prefix="sound")[1]] += 1
        time.sleep(max(0, begun + ROUND_S - time.monotonic()))
    record.say("sound requests by status: %s; deadly ones: %s" % (dict(sound), dict(poisoned)))
    if len(deadly) < 3:
        record.say("the deadly request crashed %d workers" % len(deadly))
        return sound[200] >= 0.9 * ROUNDS
    bound = deadly[2][0] + CONTACT_S
    late = {attempt for at, attempt in deadly if at > bound}
    record.say("it crashed the third worker at %.1f s and %d in all; %d of its repeats reached workers later than %g s after "
               "the third (allowed: %d)" % (deadly[2][0] - record.start, len(deadly), len(late), CONTACT_S, ALLOWED))
    return len(late) <= ALLOWED


play(FOLDER, case)
