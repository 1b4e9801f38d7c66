#include "support/CallerServerHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const std::string wholeBody = R"({"model":"m","prompt":"p","max_tokens":7,"priority":"batch"})";
const std::string streamBody = R"({"model":"m","prompt":"p","stream":true,"on_engine_loss":"restart"})";

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}

TEST_CASE("a whole answer goes to its own caller, also when answers cross")
{
    CallerServerHarness port;
    auto first = port.complete(wholeBody);
    const auto one = port.await<CompletionRequest>();
    auto second = port.complete(wholeBody);
    const auto two = port.await<CompletionRequest>();
    CHECK(one.work.maxTokens == 7);
    CHECK(one.work.priority == PriorityClass::Batch);
    CHECK(one.work.fingerprint == two.work.fingerprint);
    port.registry.deliver(two.request, CallerCompletion { GenerationId(2), "answer two", 2, FinishReason::Stop });
    port.registry.deliver(one.request, CallerCompletion { GenerationId(1), "answer one", 2, FinishReason::Length });
    CHECK(contains(CallerServerHarness::readAll(second), "answer two"));
    const std::string text = CallerServerHarness::readAll(first);
    CHECK(contains(text, "answer one"));
    CHECK(contains(text, R"("finish_reason":"length")"));
}

TEST_CASE("a stream is written as events with ids, a restart, and an end")
{
    CallerServerHarness port;
    auto socket = port.complete(streamBody);
    const auto request = port.await<CompletionRequest>();
    CHECK(request.onEngineLoss == OnEngineLoss::Restart);
    const ResumeToken token { EndpointId("a:1"), GenerationId(255) };
    port.registry.deliver(request.request, CallerTokens { token, 0, { "x", "y" } });
    CHECK(port.await<CallerConsumed>().nextIndex == 2);
    port.registry.deliver(request.request, CallerRestart { { EndpointId("b"), GenerationId(16) } });
    port.registry.deliver(request.request, CallerFinished { 0, FinishReason::Stop });
    const std::string text = CallerServerHarness::readAll(socket);
    CHECK(contains(text, "id: a:1:FF:1\n"));
    CHECK(contains(text, "event: restart\nid: b:10:\n"));
    CHECK(contains(text, "data: [DONE]\n\n"));
}

TEST_CASE("a stream is resumed after the event that the caller names")
{
    CallerServerHarness port;
    auto socket = port.open("GET /v1/completions/stream HTTP/1.1\r\nHost: e\r\nTeaselfold-Team: team\r\n"
                            "Last-Event-ID: a:1:FF:41\r\n\r\n");
    const auto request = port.await<StreamResumeRequest>();
    CHECK(request.token == ResumeToken { EndpointId("a:1"), GenerationId(255) });
    CHECK(request.nextIndex == 42);
    port.registry.deliver(request.request, CallerFinished { 42, FinishReason::Stop });
    CHECK(contains(CallerServerHarness::readAll(socket), "[DONE]"));
}

TEST_CASE("a call to a plain service is passed through without the caller's token")
{
    CallerServerHarness port;
    auto socket = port.open("PUT /services/registry/orders/7?x=1 HTTP/1.1\r\nHost: e\r\nTeaselfold-Team: guarded\r\n"
                            "Authorization: Bearer secret\r\nIdempotency-Key: k\r\nX-Note: n\r\n"
                            "Content-Length: 2\r\n\r\nhi");
    const auto call = port.await<ServiceCallRequest>();
    CHECK(call.work.service == ServiceId("registry"));
    CHECK(call.work.method == "PUT");
    CHECK(call.work.path == "/orders/7?x=1");
    CHECK(call.work.key == IdempotencyKey("k"));
    CHECK(call.work.body == "hi");
    for (const Header& header : call.work.headers)
        CHECK(header.name != "Authorization");
    port.registry.deliver(call.request, CallerServiceAnswer { 201, { { "X-Made", "yes" } }, "done", true });
    const std::string text = CallerServerHarness::readAll(socket);
    CHECK(contains(text, "HTTP/1.1 201"));
    CHECK(contains(text, "X-Made: yes"));
    CHECK(contains(text, "Teaselfold-Replayed: true"));
}
