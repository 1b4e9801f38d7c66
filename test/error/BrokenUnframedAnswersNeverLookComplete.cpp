#include "support/RawServer.h"
#include "support/TrafficHarness.h"

#include <Poco/Net/NetException.h>
#include <doctest/doctest.h>

#include <array>

using namespace teaselfold;

namespace {

constexpr Milliseconds deliveryTime(50);
const std::string signedHead = "HTTP/1.1 200 OK\r\nX-Teaselfold-Server-Signature: s\r\n";
const std::string streamHead = signedHead + "Content-Type: text/event-stream\r\n";
/** Head of a stream with neither a length nor chunks. */
const std::string unframedStreamHead = streamHead + "\r\n";
const std::string partialEvent = "id: 3\ndata: t";

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + "\n\n"; }

std::string chunk(const std::string& bytes)
{
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx", bytes.size());
    return std::string(size.data()) + "\r\n" + bytes + "\r\n";
}

std::string answerWithLength(const std::string& statusLine, const std::string& body)
{
    return statusLine + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Answer of an engine to a call that copies or stops a run which it does not have. */
const std::string noSuchRun = answerWithLength("HTTP/1.1 404 Not Found", "");

/** What a caller received until its connection ended. */
struct Received {
    std::string text;
    bool wasReset { false };

    std::string status() const { return this->text.substr(std::min(this->text.size(), std::size_t { 9 }), 3); }

    /** @return true when nothing tells the caller that the answer is incomplete. */
    bool looksComplete() const
    {
        if (!headField(this->text, "Transfer-Encoding").empty())
            return this->text.ends_with("\r\n0\r\n\r\n");
        const std::string length = headField(this->text, "Content-Length");
        const std::size_t head = this->text.find("\r\n\r\n");
        if (head == std::string::npos)
            return false;
        return length.empty() ? !this->wasReset : this->text.size() - head - 4 == std::stoul(length);
    }

    std::vector<int> eventIds() const
    {
        std::vector<int> ids;
        const std::string mark = "id: ";
        for (std::size_t at = this->text.find(mark); at != std::string::npos; at = this->text.find(mark, at + 1))
            ids.push_back(std::stoi(this->text.substr(at + mark.size())));
        return ids;
    }
};

/** A caller that speaks HTTP/1.1, or HTTP/1.0, which knows no chunks. */
class Caller {
public:
    Caller(const TrafficHarness& harness, std::string version)
        : socket(harness.connect())
        , version(std::move(version))
    {
    }

    void requestDraft()
    {
        const std::string request = "POST /draft/1 HTTP/" + this->version
            + "\r\nHost: host.example\r\nX-Api-Key: key-a\r\nX-Teaselfold-Attempt-Id: a1\r\nX-Teaselfold-Model: m\r\n"
              "X-Teaselfold-Token-Usage: 100,4000\r\nX-Teaselfold-Deadline-Ms: 20000\r\nConnection: close\r\n"
              "Content-Length: 0\r\n\r\n";
        this->socket.sendBytes(request.data(), static_cast<int>(request.size()));
    }

    void receiveUntil(const std::string& mark)
    {
        char byte = 0;
        while (this->received.text.find(mark) == std::string::npos && this->socket.receiveBytes(&byte, 1) > 0)
            this->received.text.push_back(byte);
    }

    Received receiveAll()
    {
        try {
            char byte = 0;
            while (this->socket.receiveBytes(&byte, 1) > 0)
                this->received.text.push_back(byte);
        } catch (const Poco::Net::ConnectionResetException&) {
            this->received.wasReset = true;
        }
        return this->received;
    }

private:
    Poco::Net::StreamSocket socket;
    std::string version;
    Received received;
};

const std::array<std::string, 2> httpVersions { "1.1", "1.0" };

/** How an endpoint ends the connection of an answer. */
enum class ConnectionEnd : std::uint8_t {
    Orderly,
    Reset,
};

/** Sends the parts with pauses and ends the connection. */
void answer(RawServer::Connection& connection, const std::vector<std::string>& parts, ConnectionEnd end)
{
    if (!connection.readHead())
        return;
    for (const std::string& part : parts) {
        connection.send(part);
        connection.wait(deliveryTime);
    }
    if (end == ConnectionEnd::Reset)
        connection.reset();
}

/** @return what a caller of a stream receives when the only engine answers with the parts. */
Received receiveStream(const std::string& version, const std::vector<std::string>& parts, ConnectionEnd end)
{
    RawServer engine([&](RawServer::Connection& connection) { answer(connection, parts, end); });
    const TrafficHarness harness(engine.address());
    Caller caller(harness, version);
    caller.requestDraft();
    return caller.receiveAll();
}

/** @return what a caller of a plain service receives when the only endpoint answers with the parts. */
std::string receiveBody(const std::vector<std::string>& parts, ConnectionEnd end)
{
    RawServer endpoint([&](RawServer::Connection& connection) { answer(connection, parts, end); });
    const TrafficHarness harness(endpoint.address());
    auto socket = harness.connect();
    TrafficHarness::sendRequest(socket, "/write/1", "a1");
    return TrafficHarness::readResponse(socket);
}

/** What an engine and the engine that holds the copy of its run do during a live migration. */
struct Migration {
    /** The engine's answer to the call that stops the run; empty when it closes the connection instead. */
    std::string finalAnswer;
    /** The answer arrives before the stream ends. */
    bool isAnsweredFirst { false };
    /** What the engine sends after the first two events, before it ends the connection of the stream. */
    std::string lastBytes;
    /** The answer of the engine that holds the copy. */
    std::string resumedAnswer;
};

/** An engine's answer to the call that stops a run. */
struct FinalAnswer {
    std::string name;
    std::string response;
};

struct MigrationResult {
    Received received;
    std::vector<std::string> resumeHeads;
};

/** Plays the migration of an unframed stream from an engine that drains. */
class MigrationScene {
public:
    explicit MigrationScene(const Migration& migration)
        : migration(migration)
        , source([this](RawServer::Connection& connection) { this->serveSource(connection); })
        , target([this](RawServer::Connection& connection) { this->serveTarget(connection); })
        , harness(this->source.address())
    {
    }

    MigrationResult play(const std::string& version)
    {
        Caller caller(this->harness, version);
        caller.requestDraft();
        caller.receiveUntil(event(2));
        EndpointRecord holder = GatewayScenario::engineEndpoint("e2");
        holder.address = this->target.address();
        this->harness.changeEndpoint(holder);
        EndpointRecord leaving = GatewayScenario::engineEndpoint("e1");
        leaving.address = this->source.address();
        leaving.isDraining = true;
        this->harness.changeEndpoint(leaving);
        MigrationResult result { caller.receiveAll(), {} };
        const std::lock_guard lock(this->mutex);
        result.resumeHeads = this->resumeHeads;
        return result;
    }

private:
    void serveSource(RawServer::Connection& connection)
    {
        const auto head = connection.readHead();
        const auto body = head ? connection.readBody(*head) : std::nullopt;
        if (!body)
            return;
        if (head->starts_with("POST /v1/kv-move"))
            return this->answerCopyCall(connection, *body);
        connection.send(unframedStreamHead + event(1) + event(2));
        connection.waitUntil([this] { return this->isFinalCalled.load(); });
        if (this->migration.isAnsweredFirst) {
            connection.waitUntil([this] { return this->isFinalAnswered.load(); });
            connection.wait(deliveryTime);
        }
        connection.send(this->migration.lastBytes);
        this->isStreamOver = true;
    }

    void answerCopyCall(RawServer::Connection& connection, const std::string& body)
    {
        if (body.find("\"final\":true") == std::string::npos) {
            connection.send(answerWithLength("HTTP/1.1 200 OK", R"({"session":"h1","created":2})"));
            return;
        }
        // The first of these calls has stopped the run.
        if (this->isFinalCalled.exchange(true))
            return static_cast<void>(connection.send(noSuchRun));
        if (!this->migration.isAnsweredFirst) {
            connection.waitUntil([this] { return this->isStreamOver.load(); });
            connection.wait(deliveryTime);
        }
        connection.send(this->migration.finalAnswer);
        this->isFinalAnswered = true;
    }

    void serveTarget(RawServer::Connection& connection)
    {
        const auto head = connection.readHead();
        if (!head)
            return;
        const std::lock_guard lock(this->mutex);
        this->resumeHeads.push_back(*head);
        connection.send(this->migration.resumedAnswer);
    }

    Migration migration;
    std::atomic<bool> isFinalCalled { false };
    std::atomic<bool> isFinalAnswered { false };
    std::atomic<bool> isStreamOver { false };
    std::mutex mutex;
    std::vector<std::string> resumeHeads;
    RawServer source;
    RawServer target;
    TrafficHarness harness;
};

const std::string copiedBody = R"({"session":"h2","created":3})";
const std::string copied = answerWithLength("HTTP/1.1 200 OK", copiedBody);
const std::string resumedToTheEnd = unframedStreamHead + event(4) + event(5);

}

// Guards against the loss of an answer whose length only the end of its connection tells.
TEST_CASE("A whole body without framing reaches its caller with a length")
{
    for (const std::string& body : { std::string("the answer"), std::string() }) {
        CAPTURE(body);
        const std::string answer = receiveBody({ signedHead + "\r\n", body }, ConnectionEnd::Orderly);
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(headField(answer, "Content-Length") == std::to_string(body.size()));
        CHECK(answer.ends_with("\r\n\r\n" + body));
    }
}

// Guards against a part of an answer that its caller takes for the whole.
TEST_CASE("A body without framing whose connection is reset is no answer")
{
    const std::vector<std::vector<std::string>> cases { { signedHead + "\r\nthe ans" },
        { signedHead + "\r\n", "the ans" }, { signedHead + "\r\n" }, { signedHead } };
    for (const auto& parts : cases) {
        CAPTURE(parts.size());
        CHECK(receiveBody(parts, ConnectionEnd::Reset).starts_with("HTTP/1.1 502"));
    }
    CHECK(receiveBody({ signedHead }, ConnectionEnd::Orderly).starts_with("HTTP/1.1 502"));
}

// Guards against a body with a length or chunks that ends early and is taken for one that ends with its connection.
TEST_CASE("A framed body that ends with its connection before its end is no answer")
{
    const std::vector<std::string> cases { "Content-Length: 10\r\n\r\nthe ans",
        "Transfer-Encoding: chunked\r\n\r\n" + chunk("the answer"),
        "Connection: close\r\nContent-Length: 10\r\n\r\nthe ans" };
    for (const std::string& rest : cases) {
        CAPTURE(rest);
        CHECK(receiveBody({ signedHead + rest }, ConnectionEnd::Orderly).starts_with("HTTP/1.1 502"));
    }
}

// Guards against a request that is lost on a connection which its endpoint is about to close.
TEST_CASE("An answer with 'Connection: close' is the last one on its connection, with or without a length")
{
    for (const bool hasLength : { true, false }) {
        CAPTURE(hasLength);
        std::atomic<int> connections { 0 };
        std::atomic<int> requests { 0 };
        RawServer endpoint([&](RawServer::Connection& connection) {
            ++connections;
            if (!connection.readHead())
                return;
            ++requests;
            connection.send(signedHead + "Connection: close\r\n"
                + (hasLength ? std::string("Content-Length: 2\r\n") : std::string()) + "\r\nok");
            if (hasLength && connection.readHead())
                ++requests;
        });
        const TrafficHarness harness(endpoint.address());
        auto socket = harness.connect();
        for (int round = 0; round < 3; ++round) {
            TrafficHarness::sendRequest(socket, "/write/1", "a" + std::to_string(round));
            const std::string answer = TrafficHarness::readResponse(socket);
            CHECK(answer.starts_with("HTTP/1.1 200"));
            CHECK(answer.ends_with("\r\n\r\nok"));
            // The connection of the caller is another one.
            CHECK(headField(answer, "Connection").empty());
        }
        CHECK(connections == 3);
        CHECK(requests == 3);
    }
}

// Guards against failures that turn into other failures, or into a success, because they have no length.
TEST_CASE("A failure without framing reaches its caller when it is whole, and is replaced when it is reset")
{
    const std::string failure = "HTTP/1.1 500 Internal Server Error\r\nX-Teaselfold-Server-Signature: s\r\n\r\n";
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Teaselfold-Not-Executed: 1\r\n\r\n";
    const std::string whole = receiveBody({ failure, "broken" }, ConnectionEnd::Orderly);
    CHECK(whole.starts_with("HTTP/1.1 500"));
    CHECK(headField(whole, "X-Teaselfold-Server-Signature") == "s");
    CHECK(whole.ends_with("\r\n\r\nbroken"));
    const std::string reset = receiveBody({ failure, "bro" }, ConnectionEnd::Reset);
    CHECK(reset.starts_with("HTTP/1.1 502"));
    CHECK(headField(reset, "X-Teaselfold-Server-Signature").empty());
    CHECK(receiveBody({ refusal, "full" }, ConnectionEnd::Orderly).starts_with("HTTP/1.1 503"));
    CHECK(receiveBody({ refusal, "fu" }, ConnectionEnd::Reset).starts_with("HTTP/1.1 50"));

    const Received streamFailure = receiveStream("1.1", { failure, "broken" }, ConnectionEnd::Orderly);
    CHECK(streamFailure.status() == "500");
    CHECK(streamFailure.text.ends_with("\r\n\r\nbroken"));
    CHECK(receiveStream("1.1", { refusal, "full" }, ConnectionEnd::Orderly).status() == "503");
    CHECK(receiveStream("1.1", { failure, "bro" }, ConnectionEnd::Reset).status() == "502");
}

// Guards against an answer to an earlier request that, without a length, lasts until its connection ends.
TEST_CASE("A late answer without framing never reaches the next caller")
{
    const std::string late = signedHead + "X-Teaselfold-Attempt-Id: other\r\n\r\nnot yours";
    for (const ConnectionEnd end : { ConnectionEnd::Orderly, ConnectionEnd::Reset }) {
        const std::string answer = receiveBody({ late }, end);
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(answer.find("not yours") == std::string::npos);
    }
}

// Guards against a stream that its caller never sees end, or sees broken, because only its connection ends it.
TEST_CASE("A stream without framing that ends after a whole event is complete")
{
    const std::vector<std::vector<std::string>> cases { { unframedStreamHead + event(1) + event(2) },
        { unframedStreamHead, event(1), event(2) }, { unframedStreamHead + "id: 1\nda", "ta: t1\n", "\n" + event(2) } };
    for (const std::string& version : httpVersions) {
        for (const auto& parts : cases) {
            CAPTURE(version);
            CAPTURE(parts.size());
            const Received received = receiveStream(version, parts, ConnectionEnd::Orderly);
            CHECK(received.status() == "200");
            CHECK(received.eventIds() == std::vector { 1, 2 });
            CHECK(received.looksComplete());
        }
    }
}

// Guards against a broken stream that its caller takes for complete, as when its engine crashes within an event.
TEST_CASE("A stream that ends inside an event is broken off, whatever its framing")
{
    const std::string head = chunk(event(1) + event(2) + partialEvent);
    const std::vector<std::vector<std::string>> cases { { unframedStreamHead + event(1) + event(2) + partialEvent },
        { unframedStreamHead, event(1) + event(2), partialEvent },
        { unframedStreamHead + event(1) + event(2) + partialEvent + "3\n" },
        { streamHead + "Transfer-Encoding: chunked\r\n\r\n" + head + "0\r\n\r\n" },
        { streamHead + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + head + "0\r\n\r\n" },
        { answerWithLength(streamHead.substr(0, streamHead.size() - 2), event(1) + event(2) + partialEvent) } };
    for (const std::string& version : httpVersions) {
        for (std::size_t index = 0; index < cases.size(); ++index) {
            CAPTURE(version);
            CAPTURE(index);
            const Received received = receiveStream(version, cases[index], ConnectionEnd::Orderly);
            CHECK(received.eventIds() == std::vector { 1, 2 });
            CHECK(received.text.find("t3") == std::string::npos);
            CHECK_FALSE(received.looksComplete());
        }
    }
}

// Guards against a reset that is taken for the end of a stream, as when the network or an engine fails.
TEST_CASE("A stream whose connection is reset is broken off, also after a whole event")
{
    const std::vector<std::vector<std::string>> cases { { unframedStreamHead, event(1) + event(2) },
        { unframedStreamHead, event(1) + event(2) + partialEvent },
        { streamHead + "Transfer-Encoding: chunked\r\n\r\n", chunk(event(1) + event(2)) } };
    for (const std::string& version : httpVersions) {
        for (std::size_t index = 0; index < cases.size(); ++index) {
            CAPTURE(version);
            CAPTURE(index);
            const Received received = receiveStream(version, cases[index], ConnectionEnd::Reset);
            CHECK(received.eventIds() == std::vector { 1, 2 });
            CHECK_FALSE(received.looksComplete());
        }
    }
}

// Guards against a chunked stream that is taken for complete when its connection ends in place of its last chunk.
TEST_CASE("A chunked stream whose connection ends before its last chunk is broken off")
{
    for (const std::string& version : httpVersions) {
        CAPTURE(version);
        const Received received = receiveStream(version,
            { streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1) + event(2)) }, ConnectionEnd::Orderly);
        CHECK(received.eventIds() == std::vector { 1, 2 });
        CHECK_FALSE(received.looksComplete());
    }
}

// Guards against streams that end early though an engine holds a replica of them.
TEST_CASE("A stream without framing that is broken off goes on at the engine with its replica")
{
    struct Break {
        std::string lastBytes;
        ConnectionEnd end;
    };
    const std::vector<Break> breaks { { partialEvent, ConnectionEnd::Orderly }, { "", ConnectionEnd::Reset },
        { partialEvent, ConnectionEnd::Reset } };
    for (const Break& each : breaks) {
        for (const bool isResumeWhole : { true, false }) {
            CAPTURE(each.lastBytes);
            CAPTURE(isResumeWhole);
            std::atomic<int> resumes { 0 };
            const auto serve = [&](RawServer::Connection& connection) {
                const auto head = connection.readHead();
                if (!head)
                    return;
                if (head->starts_with("POST /v1/kv-move"))
                    return static_cast<void>(connection.send(noSuchRun));
                if (headField(*head, "Kv-From").empty()) {
                    connection.send(unframedStreamHead + event(1) + event(2) + each.lastBytes);
                    connection.wait(deliveryTime);
                    if (each.end == ConnectionEnd::Reset)
                        connection.reset();
                    return;
                }
                ++resumes;
                CHECK(headField(*head, "Last-Event-Id") == "2");
                connection.send(unframedStreamHead + event(3) + event(4) + (isResumeWhole ? "" : "id: 5\n"));
            };
            RawServer first(serve);
            RawServer second(serve);
            TrafficHarness harness(first.address());
            EndpointRecord other = GatewayScenario::engineEndpoint("e2");
            other.address = second.address();
            harness.changeEndpoint(other);
            Caller caller(harness, "1.1");
            caller.requestDraft();
            const Received received = caller.receiveAll();
            CHECK(received.eventIds() == std::vector { 1, 2, 3, 4 });
            CHECK(received.looksComplete() == isResumeWhole);
            CHECK(resumes == 1);
        }
    }
}

// Guards against a stream that is taken for complete because its engine stopped it for a migration and closed it.
TEST_CASE("A stream without framing that is stopped for a migration goes on from the copy")
{
    const std::vector<FinalAnswer> answers { { "copied", copied },
        { "copied, without framing", "HTTP/1.1 200 OK\r\n\r\n" + copiedBody },
        { "no room for the rest", answerWithLength("HTTP/1.1 503 Service Unavailable", R"({"session":"h3"})") },
        { "no answer", "" }, { "an answer that is cut off", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{" } };
    for (const FinalAnswer& answer : answers) {
        for (const bool isAnsweredFirst : { false, true }) {
            for (const std::string& lastBytes : { event(3), event(3) + "id: 4\nda" }) {
                for (const std::string& version : httpVersions) {
                    CAPTURE(answer.name);
                    CAPTURE(isAnsweredFirst);
                    CAPTURE(lastBytes);
                    CAPTURE(version);
                    MigrationScene scene({ answer.response, isAnsweredFirst, lastBytes, resumedToTheEnd });
                    const MigrationResult result = scene.play(version);
                    CHECK(result.received.eventIds() == std::vector { 1, 2, 3, 4, 5 });
                    CHECK(result.received.looksComplete());
                    REQUIRE(result.resumeHeads.size() == 1);
                    CHECK(headField(result.resumeHeads[0], "Last-Event-Id") == "3");
                    const std::string handle = answer.name.starts_with("copied") ? "/h2" : "/h1";
                    CHECK(headField(result.resumeHeads[0], "Kv-From").ends_with(handle));
                }
            }
        }
    }
}

// Guards against a stopped stream that is taken for complete because the engine with its copy refuses it.
TEST_CASE("A stream without framing that is stopped for a migration and cannot go on is broken off")
{
    const std::string refusal
        = answerWithLength("HTTP/1.1 503 Service Unavailable\r\nX-Teaselfold-Not-Executed: 1", "");
    for (const bool isAnsweredFirst : { false, true }) {
        for (const std::string& version : httpVersions) {
            CAPTURE(isAnsweredFirst);
            CAPTURE(version);
            MigrationScene scene({ copied, isAnsweredFirst, event(3), refusal });
            const MigrationResult result = scene.play(version);
            CHECK(result.received.eventIds() == std::vector { 1, 2, 3 });
            CHECK_FALSE(result.received.looksComplete());
        }
    }
}

// Guards against a run that is begun again at its end, because its migration was about to stop it when it ended.
TEST_CASE("A stream without framing that ends before its migration stops it is complete")
{
    const std::vector<FinalAnswer> answers { { "no such run", answerWithLength("HTTP/1.1 404 Not Found", "{}") },
        { "not stopped, as another call is in progress", answerWithLength("HTTP/1.1 409 Conflict", "{}") } };
    for (const FinalAnswer& answer : answers) {
        for (const bool isAnsweredFirst : { false, true }) {
            for (const std::string& version : httpVersions) {
                CAPTURE(answer.name);
                CAPTURE(isAnsweredFirst);
                CAPTURE(version);
                MigrationScene scene({ answer.response, isAnsweredFirst, event(3), resumedToTheEnd });
                const MigrationResult result = scene.play(version);
                CHECK(result.received.eventIds() == std::vector { 1, 2, 3 });
                CHECK(result.received.looksComplete());
                CHECK(result.resumeHeads.empty());
            }
        }
    }
}

// Guards against streams of a leaving engine that are cut off, or taken for complete when its process is gone.
TEST_CASE("A stream without framing at an engine that leaves ends as elsewhere when there is no engine to go to")
{
    for (const ConnectionEnd end : { ConnectionEnd::Orderly, ConnectionEnd::Reset }) {
        for (const std::string& lastBytes : { event(2), std::string("id: 2\nda") }) {
            for (const std::string& version : httpVersions) {
                CAPTURE(lastBytes);
                CAPTURE(version);
                std::atomic<bool> isLeaving { false };
                RawServer engine([&](RawServer::Connection& connection) {
                    connection.readHead();
                    connection.send(unframedStreamHead + event(1));
                    connection.waitUntil([&] { return isLeaving.load(); });
                    connection.wait(deliveryTime);
                    connection.send(lastBytes);
                    connection.wait(deliveryTime);
                    if (end == ConnectionEnd::Reset)
                        connection.reset();
                });
                TrafficHarness harness(engine.address());
                Caller caller(harness, version);
                caller.requestDraft();
                caller.receiveUntil(event(1));
                EndpointRecord leaving = GatewayScenario::engineEndpoint("e1");
                leaving.address = engine.address();
                leaving.isDraining = true;
                harness.changeEndpoint(leaving);
                isLeaving = true;
                const Received received = caller.receiveAll();
                const bool isWhole = end == ConnectionEnd::Orderly && lastBytes == event(2);
                CHECK(received.looksComplete() == isWhole);
                CHECK(received.eventIds().size() == (lastBytes == event(2) ? 2 : 1));
            }
        }
    }
}

// Guards against a stream that its caller takes for complete because the gateway's process ended meanwhile.
TEST_CASE("A stream that is in progress when its gateway stops is broken off")
{
    for (const std::string& version : httpVersions) {
        CAPTURE(version);
        RawServer engine([&](RawServer::Connection& connection) {
            connection.readHead();
            connection.send(unframedStreamHead + event(1));
            connection.readHead();
        });
        auto harness = std::make_unique<TrafficHarness>(engine.address());
        Caller caller(*harness, version);
        caller.requestDraft();
        caller.receiveUntil(event(1));
        harness.reset();
        const Received received = caller.receiveAll();
        CHECK(received.eventIds() == std::vector { 1 });
        CHECK_FALSE(received.looksComplete());
    }
}
