#include "adapters/net/BoundedSocket.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <algorithm>

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

        using Poco::Net::StreamSocketImpl::receiveBytes;
        int receiveBytes(void* buffer, int length, int flags) override
        {
            this->waitForBytes();
            const int count = Poco::Net::StreamSocketImpl::receiveBytes(buffer, length, flags);
            this->ended = count == 0;
            const std::size_t received = count > 0 ? static_cast<std::size_t>(count) : 0;
            if (received > this->budget.maxBytes)
                throw Poco::DataException("response too large");
            this->budget.maxBytes -= received;
            return count;
        }

    private:
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

bool BoundedSocket::hasEnded() const { return static_cast<const BoundedSocketImpl*>(this->impl())->hasEnded(); }

}
