#!/usr/bin/env python3
"""Measures memory per stream and CPU time per event of a gateway. Usage: measure_gateway.py <bin> [streams]"""
import os
import socket
import sys
import time

from gateway_session import KEY, Gateway, wait_until
from prepared_platform import Endpoint, Store, configuration, record

EVENT_INTERVAL_S = 1.0
MEASUREMENT_TIME_S = 10


def memory_mb(pid):
    with open("/proc/%d/status" % pid) as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) / 1024


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def open_stream(gateway, number):
    connection = socket.create_connection(gateway.callers.split(":"))
    connection.sendall(("POST /draft/1 HTTP/1.1\r\nHost: host.example\r\nX-Teaselfold-Attempt-Id: id-%d\r\n"
                        "X-Teaselfold-Deadline-Ms: 20000\r\nX-Api-Key: %s\r\nX-Teaselfold-Token-Usage: 1000,400\r\n"
                        "Content-Length: 1000\r\n\r\n" % (number, KEY)).encode() + b"x" * 1000)
    return connection


def main(binaries, streams):
    store = Store()
    gateway = Gateway(binaries, store)
    pid = gateway.process.pid
    engines = [Endpoint("engine-%d" % number, EVENT_INTERVAL_S, 1000) for number in (1, 2, 3, 4)]
    for engine in engines:
        store.put("servers", engine.name, record(engine, "engines"))
    store.put("op", "config", configuration(1, [KEY]))
    wait_until("the gateway is ready", gateway.is_ready)
    idle_memory = memory_mb(pid)
    callers = [open_stream(gateway, number) for number in range(streams)]
    wait_until("all streams run", lambda: sum(engine.streams for engine in engines) == streams)
    before_s = cpu_seconds(pid)
    time.sleep(MEASUREMENT_TIME_S)
    used_s = cpu_seconds(pid) - before_s
    loaded_memory = memory_mb(pid)
    events = streams * MEASUREMENT_TIME_S / EVENT_INTERVAL_S
    print("streams=%d memory_empty_mb=%.1f memory_mb=%.1f kb_a_stream=%.1f us_an_event=%.1f" % (
        streams, idle_memory, loaded_memory, (loaded_memory - idle_memory) * 1024 / streams, used_s / events * 1e6))
    for caller in callers:
        caller.close()
    gateway.process.kill()


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 1000)
