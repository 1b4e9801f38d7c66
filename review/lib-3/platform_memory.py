"""The platform's part in the memory of a machine: "A process that exceeds memoryMb is killed." (DEPLOY)"""
import pathlib
import resource
import threading
import time

from deployment import LIMITS, CannotRun


def allow_descriptors():
    """Lets this process and the gateway open as many descriptors as the machine of the deployment."""
    wanted = 2 * LIMITS["maxFds"]
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise CannotRun("needs %d descriptors" % wanted)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


class MemoryWatch(threading.Thread):
    """Kills a gateway whose resident memory exceeds that of its machine."""

    def __init__(self, record, gateway):
        super().__init__(daemon=True)
        self.record, self.gateway = record, gateway
        self.most_mb, self.has_killed = 0, False
        self.start()

    def resident_mb(self):
        for line in pathlib.Path("/proc/%d/status" % self.gateway.process.pid).read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0

    def run(self):
        while self.gateway.process.poll() is None:
            try:
                self.most_mb = max(self.most_mb, self.resident_mb())
            except OSError:
                return
            if self.most_mb > LIMITS["memoryMb"]:
                self.has_killed = True
                self.record.note("%s uses %.1f MB of %d and is killed" % (
                    self.gateway.name, self.most_mb, LIMITS["memoryMb"]))
                return self.gateway.process.kill()
            time.sleep(0.05)

    def tell(self):
        self.record.say("the gateway used up to %.1f MB; its machine has %d MB%s" % (
            self.most_mb, LIMITS["memoryMb"], ", and it was killed" if self.has_killed else ""))
