#include "adapters/net/BoundedSocket.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <mutex>

namespace teaselfold {

namespace {

    /** Longest wait of one poll; an unbounded deadline would overflow the time span. */
    constexpr Seconds maxPollTime(60);

    class BoundedSocketImpl final : public Poco::Net::StreamSocketImpl {
    public:
        void beginExchange(const ExchangeBudget& exchange)
        {
            this->budget = exchange;
            this->ended = false;
        }
        bool hasEnded() const { return this->ended; }

        void cancel()
        {
            this->cancelled = true;
            const std::lock_guard lock(this->descriptorMutex);
            // Wakes a thread that connects, sends or receives; only that thread may close the descriptor.
            if (this->initialized())
                ::shutdown(this->sockfd(), SHUT_RDWR);
        }

        using Poco::Net::StreamSocketImpl::connect;
        void connect(const Poco::Net::SocketAddress& address, const Poco::Timespan& timeout) override
        {
            {
                const std::lock_guard lock(this->descriptorMutex);
                this->throwIfCancelled();
                if (!this->initialized())
                    this->init(address.af());
            }
            Poco::Net::StreamSocketImpl::connect(address, timeout);
        }

        void close() override
        {
            const std::lock_guard lock(this->descriptorMutex);
            Poco::Net::StreamSocketImpl::close();
        }

        /** Also called while connecting, after the attempt has begun. */
        bool poll(const Poco::Timespan& timeout, int mode) override
        {
            this->throwIfCancelled();
            const bool isReady = Poco::Net::StreamSocketImpl::poll(timeout, mode);
            this->throwIfCancelled();
            return isReady;
        }

        using Poco::Net::StreamSocketImpl::sendBytes;
        int sendBytes(const void* buffer, int length, int flags) override
        {
            this->throwIfCancelled();
            return Poco::Net::StreamSocketImpl::sendBytes(buffer, length, flags | MSG_NOSIGNAL);
        }

        using Poco::Net::StreamSocketImpl::receiveBytes;
        int receiveBytes(void* buffer, int length, int flags) override
        {
            this->waitForBytes();
            const int count = Poco::Net::StreamSocketImpl::receiveBytes(buffer, length, flags);
            // The end of what the peer sends may be that of the cancellation.
            this->throwIfCancelled();
            this->ended = count == 0;
            const std::size_t received = count > 0 ? static_cast<std::size_t>(count) : 0;
            if (received > this->budget.maxBytes)
                throw Poco::DataException("response too large");
            this->budget.maxBytes -= received;
            return count;
        }

    private:
        void throwIfCancelled() const
        {
            if (this->cancelled)
                throw Poco::Net::ConnectionAbortedException("cancelled");
        }

        void waitForBytes()
        {
            if (this->budget.deadline == Instant::max())
                return;
            const Duration left
                = std::min<Duration>(this->budget.deadline - std::chrono::steady_clock::now(), maxPollTime);
            const Poco::Timespan wait(
                std::max<Poco::Timespan::TimeDiff>(0, std::chrono::duration_cast<Microseconds>(left).count()));
            if (left <= Duration::zero() || !this->poll(wait, SELECT_READ))
                throw Poco::TimeoutException("response took too long");
        }

        ExchangeBudget budget;
        bool ended { false };
        std::atomic<bool> cancelled { false };
        /** Held while the descriptor is opened, closed or shut down. */
        std::mutex descriptorMutex;
    };

}

BoundedSocket::BoundedSocket()
    : Poco::Net::StreamSocket(new BoundedSocketImpl)
{
}

void BoundedSocket::beginExchange(const ExchangeBudget& budget)
{
    static_cast<BoundedSocketImpl*>(this->impl())->beginExchange(budget);
}

void BoundedSocket::cancel() { static_cast<BoundedSocketImpl*>(this->impl())->cancel(); }

bool BoundedSocket::hasEnded() const { return static_cast<const BoundedSocketImpl*>(this->impl())->hasEnded(); }

}
