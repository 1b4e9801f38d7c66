"""Starts gateways with the command of the deploy file against stand-ins on loopback, and writes the record of a case."""
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test/process/lib"))

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-a"
HOST = "host.example"


class Record:
    """The lines of record.txt, each with the time since the start of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = "%8.3f s  %s" % (time.monotonic() - self.began, text)
            self.file.write(line + "\n")
            self.file.flush()

    def end(self, verdict, code):
        self(verdict)
        print(verdict, flush=True)
        self.file.close()
        return code


def free_address(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


class Gateway:
    """One process of the deploy file's role, with the settings that its template takes from a small deployment."""

    def __init__(self, store_address, instance="edge-1", zone="north", **changed):
        self.callers, self.status = free_address(), free_address()
        settings = {"instance": instance, "zone": zone, "callers": self.callers, "readiness": self.status,
                    "store": store_address, "metrics": free_address(), "peers": free_address(socket.SOCK_DGRAM),
                    "stop_limit": "8s", "revocation_limit": "5000ms", "retry_ratio": "0.2", "retry_headroom": "56",
                    "retry_window": "10s", "cold_factor": "1.5", "cold_headroom": "5", "memory_limit_mb": "260",
                    "descriptor_limit": "4100", **changed}
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name) / "local.yaml"
        self.settings.write_text("".join("%s: %s\n" % item for item in settings.items()))
        self.log = open(pathlib.Path(self.folder.name) / "log", "w+b")
        program = ROOT / "target/bin/teaselfold-gateway"
        self.process = subprocess.Popen([program, "--config", self.settings], stdout=self.log, stderr=self.log, cwd=ROOT)

    def logged(self):
        return (pathlib.Path(self.folder.name) / "log").read_text(errors="replace")

    def is_ready(self):
        try:
            with socket.create_connection(address_of(self.status), timeout=1) as probe:
                probe.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: probe\r\n\r\n")
                return probe.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def address_of(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


def wait_until(check, limit_s=10):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.05)
    return False
