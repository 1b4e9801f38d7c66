#pragma once

#include "ports/ControlPorts.h"

namespace teaselfold {

/** Port towards the operators: hands answers to the threads that serve them. */
class Admins {
public:
    virtual ~Admins() = default;
    /** Hands over an answer; dropped when the operator no longer waits. Never blocks. */
    virtual void deliver(AdminRequestId admin, const AdminMessage& message) = 0;
};

}
