#pragma once

#include "runtime/ControlDuty.h"
#include "support/ControlHarness.h"

namespace teaselfold::test {

/** Serves each operation when it is submitted and pushes its reply to the control ring. */
class SynchronousPlatform : public Platform {
public:
    bool submit(const PlatformOperation& operation) override
    {
        return this->ring->tryPush(
            ControlPlatformReply { { operation.operation, this->memory.serve(operation.request) } });
    }
    Ring<ControlEvent>* ring { nullptr };
    MemoryPlatform memory;
};

/** Queues the answers to operators, so that a test can wait for them. */
class QueueingAdmins : public Admins {
public:
    void deliver(AdminRequestId, const AdminMessage& message) override { this->answers.tryPush(message); }
    Ring<AdminMessage> answers { 64 };
};

class SilentTelemetry : public Telemetry {
public:
    void log(const LogEvent&) override { }
    void observe(const Observation&) override { }
};

}
