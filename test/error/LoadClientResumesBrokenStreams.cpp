#include "emulator/host/EmulatorHttpServer.h"
#include "emulator/load/LoadRun.h"

#include <doctest/doctest.h>

#include <Poco/Net/ServerSocket.h>

using namespace teaselfold;

namespace {

/** @return a TCP port that was free at the time of the call. */
std::uint16_t freePort()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().port();
}

std::string tokenEvent(int index, const std::string& generationMark)
{
    const std::string number = std::to_string(index);
    return "id: e:1:" + number + "\ndata: {\"index\":" + number + ",\"choices\":[{\"index\":0,\"text\":\" "
        + generationMark + "." + number + "\"}]}\n\n";
}

void sendStream(HttpExchange& exchange, const std::string& events)
{
    exchange.response.setContentType("text/event-stream");
    exchange.response.setChunkedTransferEncoding(true);
    exchange.response.send() << events << std::flush;
}

/** Answers of a ScriptedEntry. */
struct Script {
    std::string submitStream;
    bool cutAfterSubmit { false };
    std::string resumeStream;
    std::uint16_t status { 200 };
    std::string errorBody;
};

/** An HTTP server that acts as an entry and returns scripted answers. */
class ScriptedEntry {
public:
    explicit ScriptedEntry(Script script)
        : script(std::move(script))
        , port(freePort())
        , server(
              Address { "127.0.0.1", this->port }, ServerLimits {}, this->faults,
              [this](HttpExchange& exchange) { this->answer(exchange); }, [](const Fault&) { return true; })
    {
        this->server.start();
    }

    /** @return the recorded outcome of one request of a LoadClient. */
    Tally sendRequest() const
    {
        LoadTarget target;
        target.entries = { Address { "127.0.0.1", this->port } };
        const auto kinds = defaultKinds();
        const ModelId model("drafter");
        Ring<RecorderEvent> events(100);
        LoadRecorder recorder(kinds);
        LoadJob job;
        job.request = 1;
        job.arrival.team = TeamId("t");
        recorder.recordSend(1, job.arrival.team, 0, Instant {});
        LoadClient(target, kinds, model, events).run(job);
        while (const auto event = events.tryPop()) {
            if (const auto* token = std::get_if<TokenReceived>(&*event))
                recorder.recordToken(1, token->index, token->text, token->at);
            if (const auto* end = std::get_if<AnswerEnded>(&*event))
                recorder.recordEnd(1, end->outcome, end->at);
        }
        return recorder.total();
    }

private:
    void answer(HttpExchange& exchange)
    {
        if (exchange.request.getMethod() == "GET")
            return sendStream(exchange, this->script.resumeStream);
        if (this->script.status != 200)
            return sendJson(exchange, this->script.status, *parseObject(this->script.errorBody));
        sendStream(exchange, this->script.submitStream);
        if (this->script.cutAfterSubmit)
            dropConnection(exchange.request);
    }

    Script script;
    FaultInjector faults;
    std::uint16_t port;
    EmulatorHttpServer server;
};

}

TEST_CASE("the load client resumes a broken stream after its last event")
{
    Script script;
    script.submitStream = tokenEvent(0, "ab12") + tokenEvent(1, "ab12");
    script.cutAfterSubmit = true;
    script.resumeStream = tokenEvent(2, "ab12") + "data: [DONE]\n\n";
    const Tally tally = ScriptedEntry(script).sendRequest();
    CHECK(tally.completed == 1);
    CHECK(tally.tokens == 3);
    CHECK(tally.corrupt == 0);
}

TEST_CASE("a resumed stream that repeats a token or changes the generation counts as corrupt")
{
    Script script;
    script.submitStream = tokenEvent(0, "ab12") + tokenEvent(1, "ab12");
    script.cutAfterSubmit = true;
    script.resumeStream = tokenEvent(1, "ab12") + "data: [DONE]\n\n";
    CHECK(ScriptedEntry(script).sendRequest().corrupt == 1);
    script.resumeStream = tokenEvent(2, "ff00") + "data: [DONE]\n\n";
    CHECK(ScriptedEntry(script).sendRequest().corrupt == 1);
}

TEST_CASE("refusals, errors and streams that end without a result are counted separately")
{
    Script refusing;
    refusing.status = 503;
    refusing.errorBody = R"({"error":{"code":"no_capacity","message":"","run":"no"}})";
    CHECK(ScriptedEntry(refusing).sendRequest().refused == 1);
    refusing.errorBody = R"({"error":{"code":"endpoint_lost","message":"","run":"unknown"}})";
    CHECK(ScriptedEntry(refusing).sendRequest().failed == 1);
    Script failing;
    failing.submitStream = tokenEvent(0, "ab12") + R"(event: error
data: {"error":{"code":"engine_failed","run":"yes"}}

)";
    CHECK(ScriptedEntry(failing).sendRequest().failed == 1);
    Script cutting;
    cutting.cutAfterSubmit = true;
    CHECK(ScriptedEntry(cutting).sendRequest().lost == 1);
}

TEST_CASE("malformed durations and scheduled calls are rejected")
{
    CHECK(parseDuration("250ms") == Duration(Milliseconds(250)));
    CHECK_FALSE(parseDuration("250").has_value());
    CHECK_FALSE(parseDuration("-1s").has_value());
    const ScheduledCall call { Seconds(5), "POST", "http://127.0.0.1:1/x", R"({"a": 1})" };
    CHECK(parseScheduledCall(R"(5s POST http://127.0.0.1:1/x {"a": 1})") == call);
    CHECK_FALSE(parseScheduledCall("5 POST http://127.0.0.1:1/x").has_value());
    CHECK_FALSE(parseScheduledCall("5s POST ftp://x").has_value());
}
