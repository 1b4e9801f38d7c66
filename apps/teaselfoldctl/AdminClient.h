#pragma once

#include "Options.h"

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>
#include <vector>

namespace teaselfold::Ctl {

/** HTTP reply of an entry. */
struct Reply {
    std::uint16_t status { 0 };
    std::string body;
    /** The parsed body; null when it is not a JSON object. */
    Poco::JSON::Object::Ptr json;
    bool isOk() const { return this->status >= 200 && this->status < 300; }
};

/** HTTP request to the admin API. */
struct Request {
    std::string method;
    std::string path;
    std::string body;
};

/** HTTP client for the admin API of entries, with failover from one entry to the next. */
class AdminClient {
public:
    AdminClient(std::vector<Address> entries, std::string token);

    /**
     * Sends a request to the entries in turn until one serves it. Entries that fail are reported on standard error.
     * All requests of this program are idempotent, so that resending one to another entry is safe.
     * @return the reply, or nullopt when no entry answered.
     */
    std::optional<Reply> send(const Request& request) const;

    /** Sends a request to one entry. @return the reply, or nullopt when the entry did not answer. */
    std::optional<Reply> sendTo(const Address& entry, const Request& request) const;

    const std::vector<Address>& addresses() const { return this->entries; }

private:
    std::vector<Address> entries;
    std::string token;
};

/** @return the exit code for a reply; `Unavailable` when there is none. */
ExitCode exitCodeOf(const std::optional<Reply>& reply);

}
