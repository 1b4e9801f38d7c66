#include "emulator/host/PlatformHost.h"

#include "emulator/host/LogLine.h"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselfold {

namespace {

    constexpr std::size_t ringCapacity = 1024;
    constexpr Seconds dutyPeriod { 1 };
    constexpr std::uint32_t defaultScanLimit = 100;
    constexpr std::string_view tablePrefix = "/table";
    constexpr std::string_view objectPrefix = "/objects/";
    constexpr std::string_view instancePrefix = "/instances";
    constexpr std::array supportedModes { "none", "slow", "freeze", "die", "down", "lose_answers", "silent" };

    Poco::JSON::Object rowToJson(const TableRecord& record)
    {
        Poco::JSON::Object row;
        row.set("key", record.key);
        row.set("value", record.value);
        row.set("version", record.version);
        return row;
    }

    /** @return the version in an ETag of the form `"<version>"`; 0, which no row has, if it cannot be parsed. */
    std::uint64_t versionFromETag(const std::string& header)
    {
        std::uint64_t version = 0;
        if (header.size() > 2)
            std::from_chars(header.data() + 1, header.data() + header.size() - 1, version);
        return version;
    }

    /** Writes the HTTP response for a PlatformResult. */
    struct ResponseWriter {
        HttpExchange& exchange;

        void operator()(const WriteDone& done) const
        {
            if (done.version == 0)
                return sendStatus(this->exchange, 204);
            this->exchange.response.set("ETag", "\"" + std::to_string(done.version) + "\"");
            const bool inserted = this->exchange.request.has("If-None-Match");
            sendJson(this->exchange, inserted ? 201 : 200, Poco::JSON::Object());
        }
        void operator()(const WriteConflict& conflict) const
        {
            sendJson(this->exchange, 412, conflict.current ? rowToJson(*conflict.current) : Poco::JSON::Object());
        }
        void operator()(const Rows& found) const
        {
            if (this->exchange.path != tablePrefix && found.rows.empty())
                return sendStatus(this->exchange, 404);
            if (this->exchange.path != tablePrefix)
                return sendJson(this->exchange, 200, rowToJson(found.rows.front()));
            Poco::JSON::Array rows;
            for (const TableRecord& record : found.rows)
                rows.add(rowToJson(record));
            Poco::JSON::Object body;
            body.set("rows", rows);
            sendJson(this->exchange, 200, body);
        }
        void operator()(const ObjectFound& object) const
        {
            if (this->exchange.dropResponse)
                return dropConnection(this->exchange.request);
            this->exchange.response.setContentType("application/octet-stream");
            this->exchange.response.sendBuffer(object.value.data(), object.value.size());
        }
        void operator()(const ObjectMissing&) const { sendStatus(this->exchange, 404); }
        void operator()(const InstanceList& list) const
        {
            Poco::JSON::Array instances;
            for (const InstanceState& state : list.instances) {
                Poco::JSON::Object instance;
                instance.set("name", state.name);
                instance.set("leaving", state.leaving);
                instances.add(instance);
            }
            Poco::JSON::Object body;
            body.set("instances", instances);
            sendJson(this->exchange, 200, body);
        }
        void operator()(const PlatformUnavailable&) const { sendStatus(this->exchange, 503); }
    };

}

PlatformHost::PlatformHost(const Address& listen, PlatformSettings settings)
    : handler(settings)
    , duty("platform", ringCapacity, dutyPeriod)
    , server(
          listen, ServerLimits {}, this->faults, [this](HttpExchange& exchange) { this->serve(exchange); },
          [](const Fault& fault) {
              return std::find(supportedModes.begin(), supportedModes.end(), fault.mode) != supportedModes.end();
          })
{
}

PlatformHost::~PlatformHost() { this->stop(); }

void PlatformHost::start()
{
    this->duty.start(this->handler);
    this->server.start();
}

void PlatformHost::stop()
{
    this->server.stop();
    this->duty.stop();
}

void PlatformHost::ModelHandler::handle(const Call& call, Instant now)
{
    if (const auto* instance = std::get_if<InstanceState>(&call.request)) {
        this->model.setInstance(*instance, now);
        call.reply->tryPush(PlatformResult(WriteDone { 1 }));
        return;
    }
    call.reply->tryPush(this->model.perform(*std::get_if<PlatformRequest>(&call.request), now));
}

void PlatformHost::serve(HttpExchange& exchange)
{
    static constexpr std::array routes { Route { objectPrefix, &PlatformHost::serveObject },
        Route { instancePrefix, &PlatformHost::serveInstances }, Route { tablePrefix, &PlatformHost::serveTable } };
    const auto* route = std::find_if(routes.begin(), routes.end(),
        [&](const Route& candidate) { return exchange.path.starts_with(candidate.prefix); });
    if (route == routes.end())
        return sendStatus(exchange, 404);
    (this->*route->serve)(exchange);
}

void PlatformHost::serveTable(HttpExchange& exchange)
{
    const std::string& method = exchange.request.getMethod();
    if (exchange.path == tablePrefix) {
        TableScan scan { queryValue(exchange.query, "prefix"), queryValue(exchange.query, "after"), defaultScanLimit };
        const std::string limit = queryValue(exchange.query, "limit");
        std::from_chars(limit.data(), limit.data() + limit.size(), scan.limit);
        return this->respond(exchange, PlatformRequest(scan));
    }
    const std::string key = exchange.path.substr(tablePrefix.size() + 1);
    const std::uint64_t expected = versionFromETag(exchange.request.get("If-Match", ""));
    if (method == "GET")
        return this->respond(exchange, PlatformRequest(TableRead { key }));
    if (method == "DELETE")
        return this->respond(exchange, PlatformRequest(TableErase { key, expected }));
    if (method != "PUT")
        return sendStatus(exchange, 405);
    if (exchange.request.has("If-None-Match"))
        return this->respond(exchange, PlatformRequest(TableInsert { key, exchange.body }));
    if (!exchange.request.has("If-Match"))
        return sendStatus(exchange, 428);
    this->respond(exchange, PlatformRequest(TableReplace { key, exchange.body, expected }));
}

void PlatformHost::serveObject(HttpExchange& exchange)
{
    const std::string key = exchange.path.substr(objectPrefix.size());
    if (exchange.request.getMethod() == "PUT")
        return this->respond(exchange, PlatformRequest(ObjectWrite { key, exchange.body }));
    this->respond(exchange, PlatformRequest(ObjectRead { key }));
}

void PlatformHost::serveInstances(HttpExchange& exchange)
{
    if (exchange.request.getMethod() != "PUT")
        return this->respond(exchange, PlatformRequest(InstanceListRead {}));
    const auto body = parseObject(exchange.body);
    if (!body || exchange.path.size() <= instancePrefix.size() + 1)
        return sendStatus(exchange, 400);
    const std::string name = exchange.path.substr(instancePrefix.size() + 1);
    this->respond(exchange, InstanceState { name, body->optValue("leaving", false) });
}

void PlatformHost::respond(HttpExchange& exchange, const std::variant<PlatformRequest, InstanceState>& request)
{
    auto reply = std::make_shared<Ring<PlatformOutcome>>(1);
    if (!this->duty.ring().tryPush(Call { request, reply }))
        return sendStatus(exchange, 503);
    const auto outcome = reply->popUntil(Instant::max());
    if (!outcome)
        return sendStatus(exchange, 503);
    if (std::holds_alternative<RateLimited>(*outcome)) {
        exchange.response.set("Retry-After", "1");
        return sendStatus(exchange, 429);
    }
    std::visit(ResponseWriter { exchange }, *std::get_if<PlatformResult>(&*outcome));
    logLine(LogEvent { "operation",
        { { "method", exchange.request.getMethod() }, { "uri", exchange.request.getURI() },
            { "lost_answer", exchange.dropResponse ? "true" : "false" } } });
}

}
