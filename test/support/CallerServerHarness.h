#pragma once

#include "adapters/http/CallerServer.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>

#include <string>

namespace teaselfold {

/** A CallerServer on loopback. The test acts as the router: it reads the router's ring and delivers messages. */
class CallerServerHarness {
public:
    explicit CallerServerHarness(CallerLimits limits = {}, std::size_t ringCapacity = 16);
    ~CallerServerHarness();

    /** Sends raw bytes on a new connection. @return the connection. */
    Poco::Net::StreamSocket sendRaw(const std::string& bytes);
    /** Sends a completion request for the team on a new connection. @return the connection. */
    Poco::Net::StreamSocket sendCompletionRequest(const std::string& body, const std::string& team = "team");
    /** Reads until the server closes the connection. @return the bytes read. */
    static std::string readUntilClosed(Poco::Net::StreamSocket& socket);
    /** Waits without a timeout for the next router event of this type and discards the others. */
    template <typename Event> Event waitForEvent()
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
