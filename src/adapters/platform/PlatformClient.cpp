#include "adapters/platform/PlatformClient.h"

#include "adapters/platform/PlatformSession.h"
#include "core/common/Check.h"

namespace teaselfold {

namespace {

    constexpr std::size_t operationCapacity = 1024;

}

PlatformClient::PlatformClient(Address address, Milliseconds timeout, std::size_t workerCount, Sink sink)
    : address(std::move(address))
    , timeout(timeout)
    , sink(std::move(sink))
    , operations(operationCapacity)
{
    for (std::size_t index = 0; index < workerCount; ++index)
        this->workers.emplace_back([this] { this->run(); });
}

bool PlatformClient::submit(const PlatformOperation& operation) { return this->operations.tryPush(operation); }

void PlatformClient::stop()
{
    this->stopping = true;
    this->operations.close();
    for (std::thread& worker : this->workers) {
        if (worker.joinable())
            worker.join();
    }
}

void PlatformClient::run()
{
    Internal::PlatformSession session(this->address, this->timeout);
    while (const auto operation = this->operations.popUntil(Instant::max())) {
        if (this->stopping)
            this->sink({ operation->operation, PlatformUnavailable { false } });
        else
            this->sink({ operation->operation, session.execute(operation->request) });
    }
}

PlatformClientBuilder& PlatformClientBuilder::withAddress(Address value)
{
    this->address = std::move(value);
    return *this;
}

PlatformClientBuilder& PlatformClientBuilder::withTimeout(Milliseconds value)
{
    this->timeout = value;
    return *this;
}

PlatformClientBuilder& PlatformClientBuilder::withWorkers(std::size_t count)
{
    this->workerCount = count;
    return *this;
}

PlatformClientBuilder& PlatformClientBuilder::withSink(PlatformClient::Sink value)
{
    this->sink = std::move(value);
    return *this;
}

std::unique_ptr<PlatformClient> PlatformClientBuilder::build() const
{
    internalCheck(this->sink && this->workerCount > 0, "a platform client requires a sink and at least one worker");
    return std::make_unique<PlatformClient>(this->address, this->timeout, this->workerCount, this->sink);
}

}
