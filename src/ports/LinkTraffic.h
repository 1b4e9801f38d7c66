#pragma once

#include <cstdint>

namespace teaselfold {

/** Traffic over all links of a process since its start, including closed links. */
struct LinkTraffic {
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
    /** Number of open connections, including those that are still being established. */
    std::uint64_t connections { 0 };
};

}
