#pragma once

#include "ports/ControlPorts.h"

namespace teaselfold {

/** Port to the operators: passes replies to the threads that serve their requests. */
class Admins {
public:
    virtual ~Admins() = default;
    /** Delivers a reply, or drops it when the operator no longer waits for it. Never blocks. */
    virtual void deliver(AdminRequestId admin, const AdminMessage& message) = 0;
};

}
