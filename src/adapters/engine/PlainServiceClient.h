#pragma once

#include "adapters/net/BoundedSession.h"
#include "ports/AgentInterfaces.h"
#include "runtime/Ring.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace teaselfold {

/** HTTP client for the plain service: a bounded pool of threads that each execute one call at a time. */
class PlainServiceClient final : public PlainService {
public:
    using Sink = std::function<void(const ServiceEvent&)>;

    PlainServiceClient(Address address, std::size_t workerCount, Sink sink);
    ~PlainServiceClient() override { this->stop(); }

    bool submit(const ServiceForward& forward) override;
    /** Executes the queued calls, then joins the threads. Idempotent. */
    void stop();

private:
    void run();
    ServiceEvent execute(const ServiceForward& forward);
    /** Reads the response. One that holds more than its share of what all may hold fails when that is used up. */
    ServiceEvent readResponse(BoundedSession& session, const ServiceForward& forward, Instant deadline);

    Address address;
    Sink sink;
    std::size_t workerCount;
    /** Bytes of the responses in progress. */
    std::atomic<std::size_t> heldBytes { 0 };
    Ring<ServiceForward> calls;
    std::vector<std::thread> workers;
};

/** Builds a PlainServiceClient, whose threads start on construction. */
class PlainServiceClientBuilder {
public:
    PlainServiceClientBuilder& withAddress(Address address);
    /** @param count number of worker threads, which is the maximum number of concurrent calls. */
    PlainServiceClientBuilder& withWorkers(std::size_t count);
    /** @param sink receives the results on several threads; may block briefly. */
    PlainServiceClientBuilder& withSink(PlainServiceClient::Sink sink);
    std::unique_ptr<PlainServiceClient> build() const;

private:
    Address address;
    std::size_t workerCount { 64 };
    PlainServiceClient::Sink sink;
};

}
