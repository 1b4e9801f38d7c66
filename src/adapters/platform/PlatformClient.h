#pragma once

#include "ports/EntryInterfaces.h"
#include "runtime/Ring.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace teaselfold {

/** The platform's table, object store and instance list over HTTP: worker threads that each keep one connection. */
class PlatformClient final : public Platform {
public:
    using Sink = std::function<void(const PlatformReply&)>;

    PlatformClient(Address address, Milliseconds timeout, std::size_t workers, Sink sink);
    ~PlatformClient() override { this->stop(); }

    /** Queues an operation. Each one queued gets exactly one reply in the sink, from a worker's thread. */
    bool submit(const PlatformOperation& operation) override;
    /** Ends what is in progress, answers what waits as not sent and joins the workers. Idempotent. */
    void stop();

private:
    void run();

    std::atomic<bool> stopping { false };

    Address address;
    Milliseconds timeout;
    Sink sink;
    Ring<PlatformOperation> operations;
    std::vector<std::thread> workers;
};

/** Builds a PlatformClient, which runs at once. */
class PlatformClientBuilder {
public:
    PlatformClientBuilder& withAddress(Address address);
    /** @param timeout for the connection and for each wait for bytes of the answer. */
    PlatformClientBuilder& withTimeout(Milliseconds timeout);
    PlatformClientBuilder& withWorkers(std::size_t count);
    /** @param sink takes the replies; called from several threads, must not block. */
    PlatformClientBuilder& withSink(PlatformClient::Sink sink);
    std::unique_ptr<PlatformClient> build() const;

private:
    Address address;
    Milliseconds timeout { 1000 };
    std::size_t workers { 2 };
    PlatformClient::Sink sink;
};

}
