#pragma once

#include "ports/ControlPorts.h"

#include <string>

namespace teaselfold::Internal {

/** An answer on the admin port. */
struct AdminResponse {
    std::uint16_t status { 200 };
    std::string body;
    std::string contentType { "application/json" };
    Milliseconds retryAfter { 0 };
};

/** @return the HTTP form of the control duty's answer. */
AdminResponse renderAdminMessage(const AdminMessage& message);

}
