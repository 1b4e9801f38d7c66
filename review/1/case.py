"""Clients and workers send header fields whose values hold encoded words (RFC 2047); the other side must get them as sent."""
import pathlib
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standins import CannotRun, Case, Client, Store, Worker, client_request, configuration, message, plain_service, route

KEYS = {"steel": ["key-steel"], "foundry": ["key-foundry"]}


def encoded(text):
    """Returns an encoded word: plain printable characters without a line end."""
    plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-/.:"
    return "=?UTF-8?Q?" + "".join(c if c in plain else "=%02X" % ord(c) for c in text) + "?="


class LookupWorker(Worker):
    """Answers lookups with the subject of a document in a header field, encoded as RFC 2047 asks."""

    subject = "plain subject"

    def answer(self, request, connection):
        if request.method != "GET":
            return super().answer(request, connection)
        connection.sendall(message("HTTP/1.1 200 OK", self.signature(request) + [("X-Subject", self.subject)],
                                   b"document of " + request.id.encode()))


def lookups(gateway, record):
    """Sends two lookups on one connection. @return what each was answered."""
    client = Client(gateway, record)
    answers = []
    for identity in ("read-1", "read-2"):
        client.send(client_request("GET", "/read/" + identity, identity, "key-foundry"))
        answers.append((identity, client.read(identity)))
    return answers


def play(case):
    record = case.record
    store = Store()
    workers = [LookupWorker("i-%d" % n, "app", store, record) for n in (1, 2)]
    if case.trouble:
        LookupWorker.subject = encoded("a\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
    for worker in workers:
        worker.register()
    store.put("op", "config", configuration(
        1, [route("/reg/", "non_idempotent", "app", 1000, 150), route("/read/", "idempotent", "app", 1000, 150, 2)],
        KEYS, [plain_service("app")]))
    gateway = case.gateway("edge-1", store.address)
    gateway.wait_ready()

    # Values of a field X-Note in three requests of the tenant steel. Without the disruption they are plain text.
    smuggled = ("x\r\nContent-Length: 0\r\n\r\n"
                "POST /reg/smuggled HTTP/1.1\r\nHost: archive.example\r\nX-Teaselfold-Attempt-Id: never-sent-1\r\n"
                "X-Teaselfold-Tenant: foundry\r\nX-Rest: x")
    notes = {"sent-1": smuggled, "sent-2": "x\r\nX-Teaselfold-Tenant: foundry",
             "sent-3": "x\r\nKv-From: 127.0.0.1:9/sent-2\r\nX-Teaselfold-Retention: r-1"}
    client = Client(gateway, record)
    for identity, note in notes.items():
        value = encoded(note) if case.trouble else "plain note"
        request = client_request("POST", "/reg/" + identity, identity, "key-steel", b"", 1000, [("X-Note", value)])
        record.write("client sends %r" % request)
        client.send(request)
        if client.read(identity) is None:
            client = Client(gateway, record)
    answers = lookups(gateway, record)
    time.sleep(0.5)

    if not case.trouble and sum(len(worker.runs) for worker in workers) != len(notes) + len(answers):
        raise CannotRun("not all requests were run")
    broken = []
    for identity, answer in answers:
        if answer and answer.status == 200 and answer.body != b"document of " + identity.encode():
            broken.append("MIXED: the client of %s got %r with the body %r, which isn't the worker's" % (
                identity, answer.first, answer.body))
    for worker in workers:
        for _, request in worker.runs:
            if request.id in ("read-1", "read-2"):
                continue
            if request.id not in notes:
                broken.append("UNASKED: worker %s ran %s %s with id %s, which no client sent" % (
                    worker.name, request.method, request.target, request.id))
                continue
            tenants = request.all("X-Teaselfold-Tenant")
            if tenants != ["steel"]:
                broken.append("UNASKED: worker %s ran %s of the tenant steel with X-Teaselfold-Tenant %s" % (
                    worker.name, request.id, tenants))
            for name in ("Kv-From", "X-Teaselfold-Retention"):
                if request.all(name):
                    broken.append("UNASKED: worker %s ran %s with %s %s, set by its client" % (
                        worker.name, request.id, name, request.all(name)))
    return broken


case = Case(pathlib.Path(__file__).parent)
case.run(play)
