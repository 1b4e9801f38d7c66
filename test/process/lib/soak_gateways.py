"""Gateways that are stopped, signalled, starved and started again under their names, and their load balancer."""
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

from gateway_session import Gateway

GRACE_S = 8
# A signal that precedes the program's first instructions ends any process.
START_S = 0.5
PROBE_INTERVAL_S = 1
MISSES = 2
# Stops and continues the process of a descriptor, so that no other process is ever reached.
STARVING_PROGRAM = """
import signal, sys, time
descriptor, share, period = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])
try:
    while True:
        signal.pidfd_send_signal(descriptor, signal.SIGSTOP)
        time.sleep(period * (1 - share))
        signal.pidfd_send_signal(descriptor, signal.SIGCONT)
        time.sleep(period * share)
except ProcessLookupError:
    pass
"""


class Incarnation:
    """One process of a gateway."""

    def __init__(self, gateway, process, log):
        self.gateway = gateway
        self.process = process
        self.log = log
        self.began_at = time.monotonic()
        self.signalled_at = self.exited_at = None
        self.hang_ups = []
        self.was_killed = False
        self.starving = None

    def send(self, number):
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    def starve(self, share, period):
        descriptor = os.pidfd_open(self.process.pid)
        self.starving = subprocess.Popen([sys.executable, "-c", STARVING_PROGRAM, str(descriptor), str(share),
                                          str(period)], pass_fds=[descriptor])
        os.close(descriptor)

    def await_exit(self, limit):
        try:
            self.process.wait(limit)
        except subprocess.TimeoutExpired:
            self.was_killed = True
            self.process.kill()
            self.process.wait()
        self.exited_at = self.exited_at or time.monotonic()
        if self.starving:
            self.starving.kill()
            self.starving.wait()


class SoakGateway(Gateway):
    def __init__(self, binaries, store, instance, zone, share, is_log_read):
        self.instance = instance
        self.share = share
        self.is_log_read = is_log_read
        self.incarnations = []
        self.is_in_rotation = False
        self.misses = MISSES
        super().__init__(binaries, store, instance, zone)
        with open(self.file.name, "a") as file:
            file.write("stop_limit: %ds\n" % GRACE_S)
        with open(self.file.name) as file:
            self.settings = file.read()

    def start(self):
        log = tempfile.NamedTemporaryFile("w+")
        output = log if self.is_log_read else subprocess.PIPE
        process = subprocess.Popen([self.program, "--config", self.file.name], stdout=output, stderr=subprocess.STDOUT)
        self.incarnations.append(Incarnation(self, process, log))
        if self.share < 1:
            self.incarnations[-1].starve(self.share, 0.1)

    @property
    def current(self):
        return self.incarnations[-1]

    def is_running(self):
        return self.current.process.poll() is None

    def hears_signals(self):
        return self.is_running() and time.monotonic() > self.current.began_at + START_S / self.share

    def logged(self):
        lines = []
        for each in self.incarnations:
            if not self.is_log_read and each.exited_at and each.process.stdout:
                each.log.write(each.process.stdout.read().decode())
                each.log.flush()
                each.process.stdout = None
            with open(each.log.name) as log:
                lines += log.read().splitlines()
        return lines

    def terminate(self, signals=(signal.SIGTERM,)):
        """Returns the incarnation that is to leave; it is gone after the grace time."""
        incarnation = self.current
        if incarnation.signalled_at is None:
            incarnation.signalled_at = time.monotonic()
            threading.Thread(target=incarnation.await_exit, args=[GRACE_S], daemon=True).start()
        for number in signals:
            incarnation.send(number)
        return incarnation

    def hang_up(self):
        if self.hears_signals():
            self.current.hang_ups.append(time.monotonic())
            self.current.send(signal.SIGHUP)

    def write_settings(self, line):
        with open(self.file.name, "w") as file:
            file.write(self.settings + line)


class LoadBalancer:
    """Probes the gateways every second; two misses take one out of rotation."""

    def __init__(self, gateways, over):
        self.gateways = gateways
        self.over = over
        for gateway in gateways:
            threading.Thread(target=self.probe, args=[gateway], daemon=True).start()

    def probe(self, gateway):
        while not self.over.wait(PROBE_INTERVAL_S):
            gateway.misses = 0 if gateway.is_running() and gateway.is_ready() else gateway.misses + 1
            gateway.is_in_rotation = gateway.misses < MISSES

    def choose(self, draws):
        return draws.choice([each for each in self.gateways if each.is_in_rotation] or self.gateways)
