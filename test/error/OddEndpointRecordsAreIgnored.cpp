#include "platform/ConfigurationReader.h"
#include "platform/PlatformTrafficCodec.h"
#include "platform/StoreReader.h"
#include "runtime/BootClock.h"
#include "support/GatewayScenario.h"
#include "support/RawServer.h"

#include <Poco/Base64Encoder.h>

#include <doctest/doctest.h>

#include <condition_variable>
#include <sstream>

using namespace teaselfold;

namespace {

std::string repeated(const std::string& text, std::size_t count)
{
    std::string result;
    for (std::size_t index = 0; index < count; ++index)
        result += text;
    return result;
}

/** @return the record of a sound endpoint with the members replaced, and further ones added. */
std::string recordWith(const std::map<std::string, std::string>& members)
{
    std::map<std::string, std::string> all { { "service", R"("service-plain")" }, { "address", R"("10.9.9.9:80")" },
        { "zone", R"("north")" }, { "version", R"("v1")" }, { "slots", "4" }, { "state", R"("ready")" },
        { "coldLeftMs", "0" }, { "seqNo", "7" }, { "born", "1764800000000" } };
    for (const auto& [name, value] : members)
        all[name] = value;
    std::string text;
    for (const auto& [name, value] : all)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + value;
    return text + "}";
}

/** @return the record of a sound endpoint without one of its members. */
std::string recordWithout(const std::string& name)
{
    std::string text = recordWith({});
    const std::size_t begin = text.find("\"" + name + "\":");
    const std::size_t end = text.find_first_of(",}", begin);
    text.erase(begin, text[end] == ',' ? end + 1 - begin : end - begin);
    return text;
}

/** Records of another writer that name no endpoint. */
std::vector<std::string> oddRecords()
{
    std::vector<std::string> records { "", " ", "null", "true", "7", "\"text\"", "[]", "{}", "[{}]", "{", "}", "{\"a\"",
        "\xff\xfe\xfd", "\xef\xbb\xbf{}", std::string("\0", 1), std::string("{\"service\":\"a\0b\"}", 17),
        "{\"service\":\"\\ud800\"}", R"({"service":"service-plain"})", std::string(60000, ' '), std::string(60000, 'a'),
        "{\"a\":" + std::string(60000, '1') + "}" };
    // Nested as deeply as one row may hold, closed and cut off.
    for (const std::size_t depth : { 17U, 100U, 129U, 1000U, 10000U, 30000U }) {
        records.push_back(repeated("[", depth) + repeated("]", depth));
        records.push_back(repeated("[", depth));
        records.push_back(repeated("{\"a\":", depth));
        records.push_back(recordWith({ { "models", repeated("[", depth) + repeated("]", depth) } }));
    }
    for (const std::string number : { "1e15", "1e300", "1e999", "-1e999", "99999999999999999999999999", "-1", "-1e300",
             "18446744073709551615", "9223372036854775808", "-9223372036854775809", "4294967296", "1e", "--1", "0x10" })
        records.push_back(recordWith({ { "slots", number } }));
    for (const std::string number :
        { "1e14", "1e300", "1e999", "-1", "9223372036854775807", "99999999999999999999999" })
        records.push_back(recordWith({ { "coldLeftMs", number } }));
    for (const std::string number : { "1e300", "-1e300", "9223372036854775807", "99999999999999999999999" })
        records.push_back(recordWith({ { "born", number } }));
    for (const std::string address : { "10.9.9.9:0", "10.9.9.9:65536", "10.9.9.9:99999999999999999999", "10.9.9.9:-1",
             "10.9.9.9:+80", "10.9.9.9:8e1", "10.9.9.9:80 ", "10.9.9.9: 80", "10.9.9.9:", "10.9.9.9", ":80", ":", "",
             " 10.9.9.9:80", "10.9.9.9 :80", "10.9.9:80", "256.9.9.9:80", "10.9.9.9:80:80", "worker.example:80",
             "localhost:80", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "10.9.9.9\\u0000:80", "%30:80" })
        records.push_back(recordWith({ { "address", "\"" + address + "\"" } }));
    for (const std::string name : { "service", "address", "zone", "state", "slots", "coldLeftMs", "born" }) {
        for (const std::string value : { "null", "[]", "{}", "true", "[[[[]]]]" })
            records.push_back(recordWith({ { name, value } }));
    }
    for (const std::string name : { "slots", "coldLeftMs", "born" })
        records.push_back(recordWith({ { name, "\"4\"" } }));
    for (const std::string value : { "null", "7", "[]", "{}", "true" })
        records.push_back(recordWith({ { "version", value } }));
    for (const std::string name : { "service", "address", "zone", "version", "slots", "state", "coldLeftMs", "seqNo" })
        records.push_back(recordWithout(name));
    return records;
}

std::string encodedRow(const std::string& key, const std::string& value)
{
    std::ostringstream encoded;
    Poco::Base64Encoder encoder(encoded);
    encoder.rdbuf()->setLineLength(0);
    encoder << value;
    encoder.close();
    return R"({"table":"servers","part":"","key":")" + key + R"(","value":")" + encoded.str() + R"(","rowVersion":5})";
}

std::string rowsAnswer(const std::vector<std::string>& rows, int version)
{
    std::string list;
    for (const std::string& row : rows)
        list += (list.empty() ? "" : ",") + row;
    const std::string body
        = R"({"rows":[)" + list + R"(],"rowVersion":)" + std::to_string(version) + R"(,"nowMs":70000,"hasMore":false})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Collects the events of a reader's thread. */
class EventLog {
public:
    void add(GatewayEvent event)
    {
        const std::lock_guard lock(this->mutex);
        this->events.push_back(std::move(event));
        this->changed.notify_all();
    }
    /** Waits for the next event. @return nothing when there is none for ten seconds. */
    std::optional<GatewayEvent> next()
    {
        std::unique_lock lock(this->mutex);
        if (!this->changed.wait_for(lock, Seconds(10), [&] { return this->taken < this->events.size(); }))
            return std::nullopt;
        return this->events[this->taken++];
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<GatewayEvent> events;
    std::size_t taken { 0 };
};

}

// Guards against a record that ends the process that reads it, by an exception or an exhausted stack.
TEST_CASE("An odd record names no endpoint")
{
    CHECK(PlatformApi::readEndpoint("i-1", recordWith({})));
    for (const std::string& record : oddRecords()) {
        CAPTURE(record.substr(0, 200));
        CHECK_FALSE(PlatformApi::readEndpoint("i-1", record));
    }
}

// Guards against a record that makes the gateway stop following the list of endpoints, or ends it.
TEST_CASE("A reader follows the other endpoints, whatever another writer put beside them")
{
    std::vector<std::string> snapshot { encodedRow("a-sound", recordWith({})) };
    std::vector<std::string> changes;
    for (const std::string& record : oddRecords()) {
        snapshot.push_back(encodedRow("odd-" + std::to_string(snapshot.size()), record));
        changes.push_back(encodedRow("odd-change-" + std::to_string(changes.size()), record));
    }
    for (const std::string row : { R"(null)", R"([])", R"({})", R"({"key":7,"value":"e30="})",
             R"({"key":"k","value":7})", R"({"key":"k","value":"$$$"})", R"({"key":"a-sound\u0000x","value":"e30="})",
             R"({"key":"x\r\nX-Note: y","value":"e30="})", R"({"key":"","value":"e30="})",
             R"({"key":"k","value":"e30=","deleted":"yes"})" }) {
        snapshot.push_back(row);
        changes.push_back(row);
    }
    changes.push_back(encodedRow("z-sound", recordWith({})));
    RawServer store([&](RawServer::Connection& connection) {
        while (const auto head = connection.readHead())
            connection.send(
                head->find("rows-get") != std::string::npos ? rowsAnswer(snapshot, 5) : rowsAnswer(changes, 6));
    });
    EventLog log;
    StoreReader::Options options;
    options.store = store.address();
    options.timeout = Milliseconds(5000);
    StoreReader reader(
        options, std::make_unique<EndpointTableTranslator>(), [&](GatewayEvent event) { log.add(std::move(event)); },
        &bootTimeNow);
    REQUIRE(reader.read({ StoreSection::Endpoints, std::nullopt, Milliseconds(0) }));
    REQUIRE(reader.read({ StoreSection::Endpoints, StoreVersion(5), Milliseconds(100) }));
    reader.start();
    GatewayScenario scenario;
    scenario.start();
    std::size_t successes = 0;
    while (successes < 2) {
        const auto event = log.next();
        REQUIRE(event);
        REQUIRE_FALSE(std::holds_alternative<StoreReadFailed>(*event));
        if (const auto* listed = std::get_if<EndpointsListed>(&*event))
            CHECK(listed->endpoints.size() == 1);
        if (const auto* changed = std::get_if<EndpointsChanged>(&*event)) {
            CHECK(changed->changed.size() == 1);
            CHECK(std::count(changed->removed.begin(), changed->removed.end(), EndpointId("a-sound")) == 0);
        }
        successes += std::holds_alternative<StoreReadSucceeded>(*event) ? 1 : 0;
        scenario.handle(*event).advance(Milliseconds(3000));
    }
    reader.stop();
    for (const char* endpoint : { "a-sound", "z-sound" })
        CHECK(scenario.gatewayUnderTest().acceptsRequests(EndpointId(endpoint)));
}

// Guards against a deadline that overflows: the request would count as late the moment it arrives.
TEST_CASE("A caller's deadline beyond every bound is as good as a very long one")
{
    const PlatformTrafficCodec codec;
    const auto timeoutOf = [&](const std::string& text) {
        return codec.readRequest({ "GET", "/", false, { { "X-Teaselfold-Deadline-Ms", text } } }).callerTimeout;
    };
    CHECK(timeoutOf("1000") == Milliseconds(1000));
    for (const std::string text :
        { "99999999999999", "9223372036854775807", "9223372036854775808", "18446744073709551615" }) {
        CAPTURE(text);
        const auto timeout = timeoutOf(text);
        REQUIRE(timeout);
        CHECK(*timeout >= std::chrono::hours(1));
        CHECK(bootTimeNow() + *timeout > bootTimeNow());
    }
}
