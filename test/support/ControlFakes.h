#pragma once

#include "runtime/ControlDuty.h"
#include "support/ControlScript.h"

namespace teaselfold::test {

/** Answers each operation at once into the control ring. */
class InstantPlatform : public Platform {
public:
    bool submit(const PlatformOperation& operation) override
    {
        return this->ring->tryPush(
            ControlPlatformReply { { operation.operation, this->memory.serve(operation.request) } });
    }
    Ring<ControlEvent>* ring { nullptr };
    MemoryPlatform memory;
};

/** Lets a test wait for answers. */
class WaitingAdmins : public Admins {
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
