#pragma once

#include "Options.h"

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>
#include <vector>

namespace teaselfold::Ctl {

/** An entry's answer. */
struct Reply {
    std::uint16_t status { 0 };
    std::string body;
    /** The body; null when it is no JSON object. */
    Poco::JSON::Object::Ptr json;
    bool isOk() const { return this->status >= 200 && this->status < 300; }
};

struct Request {
    std::string method;
    std::string path;
    std::string body;
};

/** Talks to the admin ports of entries. */
class AdminClient {
public:
    AdminClient(std::vector<Address> entries, std::string token);

    /**
     * Sends a request to the entries in turn until one can serve it. An entry that does not answer is named on
     * standard error. All requests of this program may be sent twice without harm.
     * @return the answer, or nothing when no entry answered.
     */
    std::optional<Reply> send(const Request& request) const;

    /** Sends a request to one entry. @return the answer, or nothing when it did not answer. */
    std::optional<Reply> sendTo(const Address& entry, const Request& request) const;

    const std::vector<Address>& addresses() const { return this->entries; }

private:
    std::vector<Address> entries;
    std::string token;
};

/** @return the exit code that goes with an answer. */
ExitCode exitCodeOf(const std::optional<Reply>& reply);

}
