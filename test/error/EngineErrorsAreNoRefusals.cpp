#include "support/EngineCalls.h"
#include "support/RawServer.h"

#include <doctest/doctest.h>

using namespace teaselfold;

// Guards against a generation that is started at a second engine because the first one, which ran it, answered with an
// error: only some statuses promise that nothing was executed.
TEST_CASE("A start is refused by a status that promises so, and lost by any other")
{
    struct Answer {
        int status;
        bool isRefusal;
    };
    for (const Answer& answer :
        { Answer { 400, true }, Answer { 409, true }, Answer { 429, true }, Answer { 503, true }, Answer { 500, false },
            Answer { 502, false }, Answer { 504, false }, Answer { 204, false }, Answer { 302, false } }) {
        CAPTURE(answer.status);
        RawServer engine([&](RawServer::Connection& connection) {
            const auto head = connection.readHead();
            if (head && connection.readBody(*head))
                connection.send("HTTP/1.1 " + std::to_string(answer.status) + " Status\r\nContent-Length: 0\r\n\r\n");
        });
        const EngineEvent event = startAtEngine(engine.address());
        CHECK(std::holds_alternative<EngineRefused>(event) == answer.isRefusal);
        CHECK(std::holds_alternative<EngineStreamLost>(event) != answer.isRefusal);
    }
}
