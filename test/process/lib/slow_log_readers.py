#!/usr/bin/env python3
"""Stops gateways whose log is a pipe with a slow reader or none. Usage: slow_log_readers.py <bin>"""
import os
import signal
import subprocess
import sys
import threading
import time

from gateway_session import Gateway, require, wait_until
from prepared_platform import Endpoint, Store, configuration, record

# Together they cause more lines than a pipe holds.
CALLERS = 16
CALLS_PER_CALLER = 50
# An idle gateway leaves within a second of the drain delay.
LONGEST_IDLE_STOP_S = 3.6
SLOW_BYTES_PER_S = 20000


class PipedGateway(Gateway):
    """A gateway whose log goes into a pipe. `bytes_per_s` is how fast the pipe is read; None for as fast as possible."""

    def __init__(self, binaries, store, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.received = {"out": b"", "err": b""}
        super().__init__(binaries, store)

    def start(self):
        self.process = subprocess.Popen([self.program, "--config", self.file.name], stdout=subprocess.PIPE,
                                        stderr=subprocess.PIPE, bufsize=0)
        for name, pipe in (("out", self.process.stdout), ("err", self.process.stderr)):
            threading.Thread(target=self.read, args=(name, pipe), daemon=True).start()

    def read(self, name, pipe):
        while self.bytes_per_s != 0:
            data = os.read(pipe.fileno(), 65536 if self.bytes_per_s is None else self.bytes_per_s // 20)
            if not data:
                return
            self.received[name] += data
            if self.bytes_per_s is not None:
                time.sleep(0.05)


def call(gateway, statuses):
    connection = gateway.connect()
    for _ in range(CALLS_PER_CALLER):
        answer = gateway.post("/write/1", connection=connection)
        answer.read()
        statuses.append(answer.status)


def has_counted_all(gateway):
    samples = [line.split() for line in gateway.get(gateway.metrics, "/metrics")[1].splitlines()
               if line.startswith("teaselfold_completed_total{")]
    return sum(float(sample[-1]) for sample in samples) == CALLERS * CALLS_PER_CALLER


def check(binaries, title, bytes_per_s):
    store, plain = Store(), Endpoint("plain-1")
    store.put("servers", "plain-1", record(plain, "plain"))
    store.put("op", "config", configuration(1, ["key-a"]))
    gateway = PipedGateway(binaries, store, bytes_per_s)
    try:
        wait_until("%s: the gateway is ready" % title, gateway.is_ready)
        statuses = []
        callers = [threading.Thread(target=call, args=(gateway, statuses)) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        require("%s: every call is answered" % title, statuses == [200] * (CALLERS * CALLS_PER_CALLER))
        wait_until("%s: the metrics count every call" % title, lambda: has_counted_all(gateway))
        require("%s: the log goes to standard output only" % title, gateway.received["err"] == b""
                and (bytes_per_s == 0 or gateway.received["out"].startswith(b"event=started ")))
        start = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        try:
            gateway.process.wait(LONGEST_IDLE_STOP_S)
            gone = True
        except subprocess.TimeoutExpired:
            gone = False
        require("%s: the gateway leaves in time (%.2f s)" % (title, time.monotonic() - start), gone)
    finally:
        gateway.process.kill()
        gateway.process.wait()


def full_pipe():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x")
    except BlockingIOError:
        os.set_blocking(writer, True)
    return reader, writer


def fail_to_start(gateway, output):
    """Starts a second gateway on the ports of the first one. Returns its exit status; None if it does not exit."""
    process = subprocess.Popen([gateway.program, "--config", gateway.file.name], stdout=output, stderr=output)
    try:
        return process.wait(LONGEST_IDLE_STOP_S)
    except subprocess.TimeoutExpired:
        return None
    finally:
        process.kill()
        process.wait()


# Guards against processes that cannot start and are never started again, because their last line waits for a reader.
def check_failed_starts(binaries):
    gateway = Gateway(binaries, Store())
    try:
        wait_until("a failed start: the ports are in use", lambda: gateway.get(gateway.status, "/v1/readyz")[0] != 0)
        for title, pipe in (("that is read", os.pipe()), ("that nobody reads", full_pipe())):
            status = fail_to_start(gateway, pipe[1])
            require("a failed start, a log %s: the gateway exits with a failure" % title, status not in (0, None))
            if title == "that is read":
                require("a failed start: the log tells why", b"event=start_failed reason=" in os.read(pipe[0], 65536))
    finally:
        gateway.process.kill()
        gateway.process.wait()


def main():
    check_failed_starts(sys.argv[1])
    check(sys.argv[1], "a log that is read", None)
    check(sys.argv[1], "a log that nobody reads", 0)
    check(sys.argv[1], "a log that is read slowly", SLOW_BYTES_PER_S)
    print("slow log readers: all checks passed")


if __name__ == "__main__":
    main()
