#!/usr/bin/env python3
"""Sets crowds on the ports of an entry and of an agent, which run with low limits, and checks that both live, stay within
them and that the entry answers an ordinary caller afterwards.
Usage: crowds_at_an_entry.py <entry's id> <callers> <admin> <agent's id> <link> <agent's admin> [times the crowd's size]"""
import http.client
import json
import resource
import sys
import time

from crowd import MEGABYTE, Crowd, Footprint, allow_own_descriptors
from gateway_session import LONGEST_WAIT_S, require

MEMORY_MB = {"entry": 96, "agent": 48}
DESCRIPTORS = 512
MOST_DESCRIPTORS = DESCRIPTORS - 64
BODY_BYTES = MEGABYTE


def request(path, body=b"", length=None):
    return (b"POST " + path + b" HTTP/1.1\r\nHost: e\r\nTeaselfold-Team: huye\r\nContent-Length: %d\r\n\r\n"
            % (len(body) if length is None else length) + body)


def completion(tokens, stream):
    return json.dumps({"model": "drafter", "prompt": "crowd len=%d" % tokens, "stream": stream}).encode()


class RunningProcess:
    """A process that another one started."""

    def __init__(self, pid):
        self.pid = pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))

    def poll(self):
        try:
            with open("/proc/%d/stat" % self.pid) as file:
                return None if file.read().rsplit(")", 1)[1].split()[0] != "Z" else 0
        except OSError:
            return 0


CROWDS = (
    ("bodies that never end", "callers", 200,
     lambda: request(b"/v1/completions", b"b" * (BODY_BYTES - 1), BODY_BYTES), 1),
    ("requests sent ahead", "callers", 100, lambda: request(b"/v1/completions", completion(3, False)), 1000),
    ("streams unread", "callers", 100, lambda: request(b"/v1/completions", completion(4000, True)), 1),
    ("heads that never end", "callers", 200, lambda: b"POST /v1/completions HTTP/1.1\r\n" + b"Field: f\r\n" * 100000, 1),
    ("a field that never ends", "callers", 200, lambda: b"POST / HTTP/1.1\r\nField: " + b"f" * BODY_BYTES, 1),
    ("a chunk size that never ends", "callers", 200,
     lambda: b"POST /v1/completions HTTP/1.1\r\nHost: e\r\nTeaselfold-Team: huye\r\nTransfer-Encoding: chunked\r\n\r\n4;"
     + b"e" * 2 * BODY_BYTES, 1),
    ("idle connections", "callers", 600, lambda: b"", 1),
    ("connections of a byte", "callers", 600, lambda: b"P", 1),
    ("bodies that never end", "admin", 200, lambda: request(b"/admin/notes", b"b" * (BODY_BYTES - 1), BODY_BYTES), 1),
    ("metrics unread", "admin", 200, lambda: b"GET /metrics HTTP/1.1\r\nHost: e\r\n\r\n" * 100, 1),
    ("connections of a byte", "admin", 600, lambda: b"P", 1),
    ("connections of a byte", "link", 600, lambda: b"\x10", 1),
    ("frames that never end", "link", 200, lambda: b"\xff\x0f\x00\x00" + b"f" * 4000, 1),
    ("frames that are none", "link", 200, lambda: b"\x10\x00\x00\x00" + b"f" * BODY_BYTES, 1),
    ("metrics unread", "agent admin", 200, lambda: b"GET /metrics HTTP/1.1\r\nHost: e\r\n\r\n" * 100, 1),
    ("connections of a byte", "agent admin", 600, lambda: b"P", 1),
)


def is_answered(address):
    try:
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=LONGEST_WAIT_S)
        connection.request("POST", "/v1/completions", completion(3, False), {"Teaselfold-Team": "huye"})
        answer = connection.getresponse()
        return answer.status == 200 and b'"text":"' in answer.read()
    except (OSError, http.client.HTTPException):
        return False


def is_served(address):
    """Asks again until the answer comes: requests are refused while the entry still gets rid of the crowd."""
    end = time.monotonic() + LONGEST_WAIT_S
    while time.monotonic() < end:
        if is_answered(address):
            return True
        time.sleep(0.1)
    return False


def main(arguments):
    allow_own_descriptors()
    entry, agent = Footprint(RunningProcess(int(arguments[0]))), Footprint(RunningProcess(int(arguments[3])))
    ports = {"callers": (entry, arguments[1]), "admin": (entry, arguments[2]), "link": (agent, arguments[4]),
             "agent admin": (agent, arguments[5])}
    size = int(arguments[6]) if len(arguments) > 6 else 1
    failures = 0
    for what, port, count, data, times in CROWDS:
        footprint, address = ports[port]
        crowd = Crowd(address, footprint)
        crowd.join(count * size, data(), times)
        crowd.press()
        crowd.settle()
        served_beside = is_served(arguments[1])
        for each in (entry, agent):
            each.look()
        crowd.close()
        checks = [("an ordinary request is answered beside the crowd", served_beside),
                  ("an ordinary request is answered afterwards", is_served(arguments[1]))]
        for name, each in (("entry", entry), ("agent", agent)):
            alive = each.is_alive()
            peak = each.peak_memory_mb() if alive else 0
            checks += [("the %s lives" % name, alive),
                       ("the %s's peak memory is %.0f MB of %d" % (name, peak, MEMORY_MB[name]), peak < MEMORY_MB[name]),
                       ("the %s has %d descriptors of %d" % (name, each.most_descriptors, MOST_DESCRIPTORS),
                        each.most_descriptors <= MOST_DESCRIPTORS)]
        for check, holds in checks:
            print("%s: %s at %s: %s" % ("ok" if holds else "FAILED", what, port, check), flush=True)
            failures += not holds
    require("crowds at an entry and an agent: %d checks failed" % failures, failures == 0)


if __name__ == "__main__":
    main(sys.argv[1:])
