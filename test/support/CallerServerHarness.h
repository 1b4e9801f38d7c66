#pragma once

#include "adapters/http/CallerServer.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>

#include <string>

namespace teaselfold {

/** A callers' port on loopback whose router is the test: it reads the router's ring and delivers the answers. */
class CallerServerHarness {
public:
    explicit CallerServerHarness(CallerLimits limits = {}, std::size_t ringCapacity = 16);
    ~CallerServerHarness();

    /** Sends raw bytes on a new connection. */
    Poco::Net::StreamSocket open(const std::string& bytes);
    /** Sends a completion's body as the team. */
    Poco::Net::StreamSocket complete(const std::string& body, const std::string& team = "team");
    /** Reads until the server closes the connection. */
    static std::string readAll(Poco::Net::StreamSocket& socket);
    /** Waits for the next event of this type, dropping others. */
    template <typename Event> Event await()
    {
        while (true) {
            const auto event = this->router.popUntil(Instant::max());
            if (const auto* wanted = std::get_if<Event>(&*event))
                return *wanted;
        }
    }

    Ring<RouterEvent> router;
    CallerRegistry registry;

private:
    TeamDirectory teams;
    std::uint16_t port;
    std::unique_ptr<CallerServer> server;
};

}
