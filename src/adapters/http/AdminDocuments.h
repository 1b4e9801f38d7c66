#pragma once

#include "ports/ControlPorts.h"

#include <string>

namespace teaselfold::Internal {

/** An HTTP response of the admin port. */
struct AdminResponse {
    std::uint16_t status { 200 };
    std::string body;
    std::string contentType { "application/json" };
    /** Value of `Retry-After`; zero omits the header. */
    Milliseconds retryAfter { 0 };
};

/** @return the HTTP response for an answer of the control duty. */
AdminResponse renderAdminMessage(const AdminMessage& message);

}
