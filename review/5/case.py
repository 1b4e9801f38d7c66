"""One of two gateways of a zone is cut off from the store for 0.7 s, and a worker leaves meanwhile; the other gateway is undisturbed."""
import pathlib
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standins import (BOUNDS, CannotRun, Case, Client, Proxy, Store, Worker, client_request, configuration, now, plain_service, route,
                      wait_for)

CLIENTS = 6
CUT_S = 0.7
CALM_S = BOUNDS["contactMs"] / 1000 + 3
# A leaving worker serves on for drainMs "and a little longer", and then exits.
EXIT_S = BOUNDS["drainMs"] / 1000 + 0.25


def ask(gateway, name, record, until, failed):
    """Sends registrations one after the other on a kept connection."""
    client = Client(gateway, record)
    number = 0
    while now() < until[0]:
        number += 1
        identity = "%s-%d" % (name, number)
        client.send(client_request("POST", "/reg/" + identity, identity, "key-steel", b"release"))
        answer = client.read(identity)
        if answer is None:
            client = Client(gateway, record)
        if answer is None or answer.status != 200:
            failed.append(identity)


def play(case):
    record = case.record
    store = Store()
    workers = [Worker("i-%d" % n, "app", store, record) for n in (1, 2, 3)]
    for worker in workers:
        worker.register()
    store.put("op", "config", configuration(
        1, [route("/reg/", "non_idempotent", "app", 1000, 150)], {"steel": ["key-steel"]}, [plain_service("app")]))
    proxies = [Proxy(store.address) for _ in range(2)]
    gateways = [case.gateway("edge-%d" % (n + 1), proxy.address) for n, proxy in enumerate(proxies)]
    for gateway in gateways:
        gateway.wait_ready()

    # Each table is read by one gateway of a zone, which tells the others; the log says who follows.
    def followers():
        return [gateway for gateway in gateways if "event=store_role part=endpoints role=follows" in gateway.logged()]
    wait_for("one gateway to follow the other", followers)
    calm = followers()[0]
    cut = proxies[1 - gateways.index(calm)]
    record.write("%s is undisturbed, the other gateway will be cut off from the store" % calm.name)
    until = [now() + 60]
    failed = []
    threads = [threading.Thread(target=ask, args=(calm, "c%d" % n, record, until, failed), daemon=True)
               for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(CALM_S)

    if case.trouble:
        record.write("the other gateway is cut off from the store, its connections are reset")
        cut.cut()
    time.sleep(0.05)
    acknowledged = workers[0].leave()
    record.write("the entry of worker i-1 is removed, the store has acknowledged it")
    time.sleep(CUT_S - 0.05)
    cut.heal()
    record.write("the other gateway reaches the store again")
    time.sleep(max(0.0, acknowledged + EXIT_S - now()))
    workers[0].crash()
    record.write("worker i-1 exits")
    until[0] = now() + 2
    for thread in threads:
        thread.join()

    limit = acknowledged + BOUNDS["drainMs"] / 1000
    if not workers[0].runs:
        raise CannotRun("worker i-1 was never used")
    lost = [request.id for _, request in workers[0].runs if request.id in failed]
    record.write("%d registrations that worker i-1 had begun were lost with its exit: %s" % (len(lost), lost))
    late = [at - limit for at, _ in workers[0].runs if at > limit]
    record.write("worker i-1 ran %d requests after its leaving was acknowledged" % len(
        [1 for at, _ in workers[0].runs if at > acknowledged]))
    if not late:
        return []
    return ["DRAIN: %d requests reached worker i-1 later than drainMs after its leaving was acknowledged, the last %.0f ms "
            "later, all sent by %s, which was in touch" % (len(late), 1000 * max(late), calm.name)]


case = Case(pathlib.Path(__file__).parent)
case.run(play)
