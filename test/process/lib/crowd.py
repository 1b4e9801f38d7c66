"""A crowd of callers that nobody controls: many connections that send, and read nothing, for as long as they are kept."""
import os
import resource
import selectors
import socket
import time

# After which nothing more is sent, when no connection of the crowd takes a byte. Longer than the pauses of a handshake
# that meets a full queue.
NO_PROGRESS_S = 4
SEND_BYTES = 262144
# A process that used no processor time for so long has handled all that it takes.
REST_S = 1
LONGEST_SETTLING_S = 40
# A small window, so that what is not read stays with the sender.
RECEIVE_BUFFER_BYTES = 4096
MEGABYTE = 1 << 20


def text_of(path):
    with open(path) as file:
        return file.read()


class Footprint:
    """What a process holds, as /proc shows it."""

    def __init__(self, process):
        self.process = process
        self.most_descriptors = 0

    def is_alive(self):
        return self.process.poll() is None

    def look(self):
        if self.is_alive():
            self.most_descriptors = max(self.most_descriptors, len(os.listdir("/proc/%d/fd" % self.process.pid)))

    def processor_ticks(self):
        fields = text_of("/proc/%d/stat" % self.process.pid).rsplit(")", 1)[1].split()
        return int(fields[11]) + int(fields[12])

    def peak_memory_mb(self):
        for line in text_of("/proc/%d/status" % self.process.pid).splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0


class Member:
    """One connection of the crowd. Sends its bytes a given number of times, in pieces, as far as the other side reads."""

    def __init__(self, address, data, times):
        self.data, self.left, self.at = data, times, 0
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        host, port = address.rsplit(":", 1)
        self.socket.setblocking(False)
        self.socket.connect_ex((host, int(port)))

    def send_some(self, most):
        """Returns false when everything is sent or the other side has closed."""
        if self.left == 0:
            return False
        try:
            self.at += self.socket.send(memoryview(self.data)[self.at:self.at + most])
        except BlockingIOError:
            return True
        except OSError:
            self.left = 0
            return False
        if self.at == len(self.data):
            self.at, self.left = 0, self.left - 1
        return self.left > 0


class Crowd:
    def __init__(self, address, footprint):
        self.address, self.footprint = address, footprint
        self.members = []

    def join(self, count, data, times=1):
        """Adds connections that send the data so many times. `press` sends it."""
        self.members += [Member(self.address, data, times) for _ in range(count)]

    def press(self, most=SEND_BYTES):
        """Sends until all is sent, or nothing moves any more: the other side neither reads nor closes."""
        with selectors.DefaultSelector() as selector:
            for member in self.members:
                if member.left > 0:
                    selector.register(member.socket, selectors.EVENT_WRITE, member)
            while selector.get_map():
                ready = selector.select(NO_PROGRESS_S)
                if not ready:
                    return
                for key, _ in ready:
                    if not key.data.send_some(most):
                        selector.unregister(key.fileobj)
                self.footprint.look()

    def settle(self):
        """Waits until the process has handled what the crowd sent, as far as it takes it."""
        end = time.monotonic() + LONGEST_SETTLING_S
        before = -1
        while self.footprint.is_alive() and time.monotonic() < end:
            now = self.footprint.processor_ticks()
            if now - before <= 1:
                return
            before = now
            time.sleep(REST_S)
            self.footprint.look()

    def close(self):
        for member in self.members:
            member.socket.close()
        self.members = []


def limit_descriptors(count):
    """Returns a function that limits the descriptors of the process that calls it."""
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))


def allow_own_descriptors():
    """Lets this process open as many descriptors as a crowd needs."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
