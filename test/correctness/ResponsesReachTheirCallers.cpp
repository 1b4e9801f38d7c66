#include "support/CallerServerHarness.h"

#include <doctest/doctest.h>

using namespace teaselfold;

namespace {

const std::string completionBody = R"({"model":"m","prompt":"p","max_tokens":7,"priority":"batch"})";
const std::string streamBody = R"({"model":"m","prompt":"p","stream":true,"on_engine_loss":"restart"})";

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}

TEST_CASE("each caller gets its own completion when responses arrive out of order")
{
    CallerServerHarness harness;
    auto first = harness.sendCompletionRequest(completionBody);
    const auto firstRequest = harness.waitForEvent<CompletionRequest>();
    auto second = harness.sendCompletionRequest(completionBody);
    const auto secondRequest = harness.waitForEvent<CompletionRequest>();
    CHECK(firstRequest.work.maxTokens == 7);
    CHECK(firstRequest.work.priority == PriorityClass::Batch);
    CHECK(firstRequest.work.fingerprint == secondRequest.work.fingerprint);
    harness.registry.deliver(
        secondRequest.request, CallerCompletion { GenerationId(2), "answer two", 2, FinishReason::Stop });
    harness.registry.deliver(
        firstRequest.request, CallerCompletion { GenerationId(1), "answer one", 2, FinishReason::Length });
    CHECK(contains(CallerServerHarness::readUntilClosed(second), "answer two"));
    const std::string text = CallerServerHarness::readUntilClosed(first);
    CHECK(contains(text, "answer one"));
    CHECK(contains(text, R"("finish_reason":"length")"));
}

TEST_CASE("a stream is written as events with ids, a restart event and an end marker")
{
    CallerServerHarness harness;
    auto socket = harness.sendCompletionRequest(streamBody);
    const auto request = harness.waitForEvent<CompletionRequest>();
    CHECK(request.onEngineLoss == OnEngineLoss::Restart);
    const ResumeToken token { EndpointId("a:1"), GenerationId(255) };
    harness.registry.deliver(request.request, CallerTokens { token, 0, { "x", "y" } });
    CHECK(harness.waitForEvent<CallerConsumed>().nextIndex == 2);
    harness.registry.deliver(request.request, CallerRestart { { EndpointId("b"), GenerationId(16) } });
    harness.registry.deliver(request.request, CallerFinished { 0, FinishReason::Stop });
    const std::string text = CallerServerHarness::readUntilClosed(socket);
    CHECK(contains(text, "id: a:1:FF:1\n"));
    CHECK(contains(text, "event: restart\nid: b:10:\n"));
    CHECK(contains(text, "data: [DONE]\n\n"));
}

TEST_CASE("a stream is resumed after the event named by Last-Event-ID")
{
    CallerServerHarness harness;
    auto socket = harness.sendRaw("GET /v1/completions/stream HTTP/1.1\r\nHost: e\r\nTeaselfold-Team: team\r\n"
                                  "Last-Event-ID: a:1:FF:41\r\n\r\n");
    const auto request = harness.waitForEvent<StreamResumeRequest>();
    CHECK(request.token == ResumeToken { EndpointId("a:1"), GenerationId(255) });
    CHECK(request.nextIndex == 42);
    harness.registry.deliver(request.request, CallerFinished { 42, FinishReason::Stop });
    CHECK(contains(CallerServerHarness::readUntilClosed(socket), "[DONE]"));
}

TEST_CASE("a call to a plain service is forwarded without the caller's token")
{
    CallerServerHarness harness;
    auto socket
        = harness.sendRaw("PUT /services/registry/orders/7?x=1 HTTP/1.1\r\nHost: e\r\nTeaselfold-Team: guarded\r\n"
                          "Authorization: Bearer secret\r\nIdempotency-Key: k\r\nX-Note: n\r\n"
                          "Content-Length: 2\r\n\r\nhi");
    const auto call = harness.waitForEvent<ServiceCallRequest>();
    CHECK(call.work.service == ServiceId("registry"));
    CHECK(call.work.method == "PUT");
    CHECK(call.work.path == "/orders/7?x=1");
    CHECK(call.work.key == IdempotencyKey("k"));
    CHECK(call.work.body == "hi");
    for (const Header& header : call.work.headers)
        CHECK(header.name != "Authorization");
    harness.registry.deliver(call.request, CallerServiceResponse { 201, { { "X-Made", "yes" } }, "done", true });
    const std::string text = CallerServerHarness::readUntilClosed(socket);
    CHECK(contains(text, "HTTP/1.1 201"));
    CHECK(contains(text, "X-Made: yes"));
    CHECK(contains(text, "Teaselfold-Replayed: true"));
}
