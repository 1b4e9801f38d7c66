#include "adapters/logging/LineWriter.h"

#include <Poco/Net/SocketImpl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>

namespace teaselfold {

namespace {

    /** Longest wait between two checks of the limit, in case a wake-up is lost. */
    constexpr Milliseconds longestPoll(1000);

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
        // A writable pipe takes this many bytes without blocking.
        const ssize_t count = ::write(this->descriptor, line.data(), std::min<std::size_t>(line.size(), PIPE_BUF));
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
