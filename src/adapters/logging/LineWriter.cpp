#include "adapters/logging/LineWriter.h"

#include <Poco/Net/SocketImpl.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <string>

namespace teaselfold {

namespace {

    /** Longest wait between two checks of the limit, in case a wake-up is lost. */
    constexpr Milliseconds longestPoll(1000);

    /**
     * Opens a pipe or terminal anew. Other processes may share its file description, and would share O_NONBLOCK with
     * it.
     * @return the new descriptor; -1 if the descriptor is of another kind or cannot be opened.
     */
    int reopenWithoutBlocking(int descriptor)
    {
        struct stat status { };
        if (fstat(descriptor, &status) != 0 || (!S_ISFIFO(status.st_mode) && !S_ISCHR(status.st_mode)))
            return -1;
        const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
        return open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
    }

}

LineWriter::LineWriter(int descriptor)
    : reopened(reopenWithoutBlocking(descriptor))
    , descriptor(this->reopened >= 0 ? this->reopened : descriptor)
{
}

LineWriter::~LineWriter()
{
    if (this->reopened >= 0)
        close(this->reopened);
}

ssize_t LineWriter::writeSome(std::string_view bytes) const
{
    const ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0 || errno != ENOTSOCK)
        return sent;
    // A writable pipe takes this many bytes without blocking, unless another process fills it meanwhile.
    return ::write(this->descriptor, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF));
}

bool LineWriter::waitUntilWritable()
{
    std::array<pollfd, 2> polled { pollfd { this->descriptor, POLLOUT, 0 },
        pollfd { this->wakeUps.socket().impl()->sockfd(), POLLIN, 0 } };
    while (true) {
        if (poll(polled.data(), 1, 0) > 0)
            return true;
        const Instant now = std::chrono::steady_clock::now();
        const Instant limit = this->waitLimit.load();
        if (now >= limit)
            return false;
        const auto left = std::chrono::ceil<Milliseconds>(std::min<Duration>(limit - now, longestPoll));
        poll(polled.data(), polled.size(), static_cast<int>(left.count()));
        if (polled[0].revents != 0)
            return true;
        if (polled[1].revents != 0)
            this->wakeUps.reset();
    }
}

bool LineWriter::write(std::string_view line)
{
    while (!line.empty()) {
        if (!this->waitUntilWritable())
            return false;
        const ssize_t count = this->writeSome(line);
        if (count < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        line.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    return true;
}

void LineWriter::limitWaits(Instant until)
{
    this->waitLimit.store(until);
    this->wakeUps.wake();
}

}
