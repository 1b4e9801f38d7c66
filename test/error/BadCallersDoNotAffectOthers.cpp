#include "support/CallerServerHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

const std::string validBody = R"({"model":"m","prompt":"p"})";
const std::string notExecuted = R"("run":"no")";

}

TEST_CASE("invalid input is rejected with its status and never reaches the router")
{
    CallerLimits limits;
    limits.maxBodyBytes = 100;
    CallerServerHarness harness(limits);
    const auto sendAndRead = [&](const std::string& body, const std::string& team = "team") {
        auto socket = harness.sendCompletionRequest(body, team);
        return CallerServerHarness::readUntilClosed(socket);
    };
    for (const char* body :
        { "{", "[]", "{}", R"({"model":1,"prompt":"p"})", R"({"model":"m","prompt":"p","stream":1})",
            R"({"model":"m","prompt":"p","max_tokens":-1})", R"({"model":"m","prompt":"p","priority":"now"})" }) {
        const std::string text = sendAndRead(body);
        CHECK_MESSAGE(contains(text, "HTTP/1.1 400"), body);
        CHECK(contains(text, notExecuted));
    }
    CHECK(contains(sendAndRead(std::string(101, ' ')), "HTTP/1.1 413"));
    CHECK(contains(sendAndRead(validBody, "stranger"), "HTTP/1.1 403"));
    CHECK(contains(sendAndRead(validBody, "guarded"), "HTTP/1.1 401"));
    auto unknown = harness.sendRaw("GET /nowhere HTTP/1.1\r\nHost: e\r\n\r\n");
    CHECK(contains(CallerServerHarness::readUntilClosed(unknown), "HTTP/1.1 404"));
    auto deadline = harness.sendRaw("POST /v1/completions HTTP/1.1\r\nHost: e\r\nTeaselfold-Team: team\r\n"
                                    "Teaselfold-Deadline-Ms: 99999999999\r\nContent-Length: 0\r\n\r\n");
    CHECK(contains(CallerServerHarness::readUntilClosed(deadline), "HTTP/1.1 400"));
    CHECK_FALSE(harness.router.tryPop().has_value());
}

TEST_CASE("a full router ring is reported with Retry-After and as not executed")
{
    CallerServerHarness harness({}, 1);
    harness.router.tryPush(RouterTick {});
    auto socket = harness.sendCompletionRequest(validBody);
    const std::string text = CallerServerHarness::readUntilClosed(socket);
    CHECK(contains(text, "Retry-After: 1"));
    CHECK(contains(text, notExecuted));
}

TEST_CASE("callers that never complete their request do not exhaust the threads")
{
    CallerLimits limits;
    limits.threads = 4;
    limits.receiveTimeout = Milliseconds(200);
    CallerServerHarness harness(limits);
    std::vector<Poco::Net::StreamSocket> slow;
    for (int number = 0; number < 8; ++number)
        slow.push_back(harness.sendRaw("POST /v1/completions HTTP/1.1\r\nTease"));
    auto socket = harness.sendCompletionRequest(validBody);
    const auto request = harness.waitForEvent<CompletionRequest>();
    harness.registry.deliver(request.request, CallerCompletion { GenerationId(1), "served", 1, FinishReason::Stop });
    CHECK(contains(CallerServerHarness::readUntilClosed(socket), "served"));
}

TEST_CASE("a disconnect in the middle of a stream is reported to the router")
{
    CallerServerHarness harness;
    auto socket = harness.sendCompletionRequest(R"({"model":"m","prompt":"p","stream":true})");
    const auto request = harness.waitForEvent<CompletionRequest>();
    harness.registry.deliver(request.request, CallerTokens { { EndpointId("a"), GenerationId(1) }, 0, { "x" } });
    harness.waitForEvent<CallerConsumed>();
    socket.close();
    CHECK(harness.waitForEvent<CallerDisconnected>().request == request.request);
}

TEST_CASE("a failure sets the HTTP status before the first event and is an error event afterwards")
{
    CallerServerHarness harness;
    const Failure lost { ErrorCode::EndpointLost, "lost", Executed::Yes };
    auto early = harness.sendCompletionRequest(R"({"model":"m","prompt":"p","stream":true})");
    harness.registry.deliver(harness.waitForEvent<CompletionRequest>().request, CallerFailure { lost });
    CHECK(contains(CallerServerHarness::readUntilClosed(early), "HTTP/1.1 503"));
    auto late = harness.sendCompletionRequest(R"({"model":"m","prompt":"p","stream":true})");
    const RequestId request = harness.waitForEvent<CompletionRequest>().request;
    harness.registry.deliver(request, CallerTokens { { EndpointId("a"), GenerationId(1) }, 0, { "x" } });
    harness.registry.deliver(request, CallerFailure { lost });
    CHECK(contains(
        CallerServerHarness::readUntilClosed(late), "event: error\ndata: {\"error\":{\"code\":\"endpoint_lost\""));
}
