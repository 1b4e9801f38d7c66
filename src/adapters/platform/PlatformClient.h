#pragma once

#include "ports/EntryInterfaces.h"
#include "runtime/Ring.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace teaselfold {

/** HTTP client for the platform's table, object store and instance list. Each worker thread has one connection. */
class PlatformClient final : public Platform {
public:
    using Sink = std::function<void(const PlatformReply&)>;

    PlatformClient(Address address, Milliseconds timeout, std::size_t workerCount, Sink sink);
    ~PlatformClient() override { this->stop(); }

    /**
     * Queues an operation. The sink gets exactly one reply for each queued operation, from a worker thread.
     * @return false if the queue is full or the client is stopped.
     */
    bool submit(const PlatformOperation& operation) override;
    /** Completes the operations in progress, reports queued ones as not sent and joins the workers. Idempotent. */
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

/** Builds a PlatformClient, whose threads start on construction. */
class PlatformClientBuilder {
public:
    PlatformClientBuilder& withAddress(Address address);
    /** @param timeout limit of a connection attempt, of each wait for response data and of the whole response body. */
    PlatformClientBuilder& withTimeout(Milliseconds timeout);
    PlatformClientBuilder& withWorkers(std::size_t count);
    /** @param sink receives the replies; called from several threads, must not block. */
    PlatformClientBuilder& withSink(PlatformClient::Sink sink);
    std::unique_ptr<PlatformClient> build() const;

private:
    Address address;
    Milliseconds timeout { 1000 };
    std::size_t workerCount { 2 };
    PlatformClient::Sink sink;
};

}
