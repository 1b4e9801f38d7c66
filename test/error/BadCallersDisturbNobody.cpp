#include "support/CallerServerHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

const std::string goodBody = R"({"model":"m","prompt":"p"})";
const std::string notRun = R"("run":"no")";

}

TEST_CASE("bad input is refused with its status and as not run")
{
    CallerLimits limits;
    limits.maxBodyBytes = 100;
    CallerServerHarness port(limits);
    const auto answer = [&](const std::string& body, const std::string& team = "team") {
        auto socket = port.complete(body, team);
        return CallerServerHarness::readAll(socket);
    };
    for (const char* body :
        { "{", "[]", "{}", R"({"model":1,"prompt":"p"})", R"({"model":"m","prompt":"p","stream":1})",
            R"({"model":"m","prompt":"p","max_tokens":-1})", R"({"model":"m","prompt":"p","priority":"now"})" }) {
        const std::string text = answer(body);
        CHECK_MESSAGE(contains(text, "HTTP/1.1 400"), body);
        CHECK(contains(text, notRun));
    }
    CHECK(contains(answer(std::string(101, ' ')), "HTTP/1.1 413"));
    CHECK(contains(answer(goodBody, "stranger"), "HTTP/1.1 403"));
    CHECK(contains(answer(goodBody, "guarded"), "HTTP/1.1 401"));
    auto unknown = port.open("GET /nowhere HTTP/1.1\r\nHost: e\r\n\r\n");
    CHECK(contains(CallerServerHarness::readAll(unknown), "HTTP/1.1 404"));
    auto deadline = port.open("POST /v1/completions HTTP/1.1\r\nHost: e\r\nTeaselfold-Team: team\r\n"
                              "Teaselfold-Deadline-Ms: 99999999999\r\nContent-Length: 0\r\n\r\n");
    CHECK(contains(CallerServerHarness::readAll(deadline), "HTTP/1.1 400"));
    CHECK_FALSE(port.router.tryPop().has_value());
}

TEST_CASE("a full router ring is a refusal with a time to wait")
{
    CallerServerHarness port({}, 1);
    port.router.tryPush(Tick {});
    auto socket = port.complete(goodBody);
    const std::string text = CallerServerHarness::readAll(socket);
    CHECK(contains(text, "Retry-After: 1"));
    CHECK(contains(text, notRun));
}

TEST_CASE("callers that never finish their request do not use up the threads")
{
    CallerLimits limits;
    limits.threads = 4;
    limits.receiveTimeout = Milliseconds(200);
    CallerServerHarness port(limits);
    std::vector<Poco::Net::StreamSocket> slow;
    for (int number = 0; number < 8; ++number)
        slow.push_back(port.open("POST /v1/completions HTTP/1.1\r\nTease"));
    auto socket = port.complete(goodBody);
    const auto request = port.await<CompletionRequest>();
    port.registry.deliver(request.request, CallerCompletion { GenerationId(1), "served", 1, FinishReason::Stop });
    CHECK(contains(CallerServerHarness::readAll(socket), "served"));
}

TEST_CASE("a caller that leaves in mid-stream is reported to the router")
{
    CallerServerHarness port;
    auto socket = port.complete(R"({"model":"m","prompt":"p","stream":true})");
    const auto request = port.await<CompletionRequest>();
    port.registry.deliver(request.request, CallerTokens { { EndpointId("a"), GenerationId(1) }, 0, { "x" } });
    port.await<CallerConsumed>();
    socket.close();
    CHECK(port.await<CallerGone>().request == request.request);
}

TEST_CASE("a stream that fails ends with an error event, and before the first event with a status")
{
    CallerServerHarness port;
    const Failure lost { ErrorCode::EndpointLost, "lost", Run::Yes };
    auto early = port.complete(R"({"model":"m","prompt":"p","stream":true})");
    port.registry.deliver(port.await<CompletionRequest>().request, CallerFailure { lost });
    CHECK(contains(CallerServerHarness::readAll(early), "HTTP/1.1 503"));
    auto late = port.complete(R"({"model":"m","prompt":"p","stream":true})");
    const RequestId request = port.await<CompletionRequest>().request;
    port.registry.deliver(request, CallerTokens { { EndpointId("a"), GenerationId(1) }, 0, { "x" } });
    port.registry.deliver(request, CallerFailure { lost });
    CHECK(contains(CallerServerHarness::readAll(late), "event: error\ndata: {\"error\":{\"code\":\"endpoint_lost\""));
}
