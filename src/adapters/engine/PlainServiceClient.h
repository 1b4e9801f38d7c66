#pragma once

#include "ports/AgentInterfaces.h"
#include "runtime/Ring.h"

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace teaselfold {

/** The plain service over HTTP: a bounded pool of threads that each carry one call. */
class PlainServiceClient final : public PlainService {
public:
    using Sink = std::function<void(const ServiceEvent&)>;

    PlainServiceClient(Address address, std::size_t workers, Sink sink);
    ~PlainServiceClient() override { this->stop(); }

    bool submit(const ServiceForward& forward) override;
    /** Carries out what is queued, then joins the threads. Idempotent. */
    void stop();

private:
    void run();
    ServiceEvent carryOut(const ServiceForward& forward) const;

    Address address;
    Sink sink;
    Ring<ServiceForward> calls;
    std::vector<std::thread> workers;
};

/** Builds a PlainServiceClient, which runs at once. */
class PlainServiceClientBuilder {
public:
    PlainServiceClientBuilder& withAddress(Address address);
    /** @param count calls carried at once. */
    PlainServiceClientBuilder& withWorkers(std::size_t count);
    /** @param sink takes the answers, from several threads; may block for a while. */
    PlainServiceClientBuilder& withSink(PlainServiceClient::Sink sink);
    std::unique_ptr<PlainServiceClient> build() const;

private:
    Address address;
    std::size_t workers { 64 };
    PlainServiceClient::Sink sink;
};

}
