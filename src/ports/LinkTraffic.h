#pragma once

#include <cstdint>

namespace teaselfold {

/** What went over all links of a process since its start, closed links included. */
struct LinkTraffic {
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
    /** Connections open now, also those that are not established yet. */
    std::uint64_t connections { 0 };
};

}
