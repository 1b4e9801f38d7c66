#include "adapters/http/AdminApi.h"

#include "adapters/fleet/ReleaseNoteYaml.h"
#include "adapters/http/AdminTokens.h"
#include "core/control/StorageKeys.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace teaselfold::Internal {

namespace {

    /** Maximum number of notes or audit records in one response. */
    constexpr std::uint32_t maxPageSize = 100;

    enum class Access : std::uint8_t {
        Open,
        Viewer,
        Operator,
    };

    AdminResponse makePlainTextResponse(std::uint16_t status, std::string body)
    {
        AdminResponse response;
        response.status = status;
        response.body = std::move(body);
        response.contentType = "text/plain; version=0.0.4";
        return response;
    }

    WallTime currentWallTime() { return std::chrono::floor<Milliseconds>(std::chrono::system_clock::now()); }

    std::optional<std::uint64_t> parseNumber(const std::string& text)
    {
        std::uint64_t value = 0;
        const char* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        if (text.empty() || error != std::errc {} || stop != end)
            return std::nullopt;
        return value;
    }

    std::optional<std::uint64_t> queryNumber(
        const AdminRequest& request, const std::string& name, std::uint64_t fallback)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? fallback : parseNumber(found->second);
    }

    /** Author and reason of an operator's action, as the audit log records them. */
    struct ActionAttribution {
        std::string author;
        std::string reason;
    };

    std::optional<ActionAttribution> parseAttribution(const std::string& body, const std::string& operatorName)
    {
        try {
            const auto json = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
            ActionAttribution attribution;
            attribution.author = json->optValue<std::string>("author", operatorName);
            attribution.reason = json->optValue<std::string>("reason", "");
            return attribution;
        } catch (const Poco::Exception&) {
            return std::nullopt;
        }
    }

}

/** A method, a path pattern and their handler; the segment "*" matches any one non-empty segment. */
struct AdminApi::Route {
    std::string_view method;
    std::vector<std::string_view> path;
    Access access;
    Handler handler;

    bool matchesSegments(const std::vector<std::string>& segments) const
    {
        const auto segmentMatches = [](std::string_view pattern, const std::string& segment) {
            return pattern == "*" ? !segment.empty() : pattern == segment;
        };
        return std::equal(this->path.begin(), this->path.end(), segments.begin(), segments.end(), segmentMatches);
    }
};

AdminApi::AdminApi(const AdminServerOptions& options, ProbeCallbacks probes, ControlCall callControl)
    : options(options)
    , probes(std::move(probes))
    , callControl(std::move(callControl))
{
}

const AdminApi::Route* AdminApi::findRoute(const AdminRequest& request) const
{
    static const std::array routes {
        Route { "GET", { "healthz" }, Access::Open, &AdminApi::serveHealth },
        Route { "GET", { "readyz" }, Access::Open, &AdminApi::serveReadiness },
        Route { "GET", { "metrics" }, Access::Open, &AdminApi::serveMetrics },
        Route { "POST", { "admin", "notes" }, Access::Operator, &AdminApi::publishNote },
        Route { "GET", { "admin", "notes" }, Access::Viewer, &AdminApi::listNotes },
        Route { "GET", { "admin", "notes", "*" }, Access::Viewer, &AdminApi::showNote },
        Route { "POST", { "admin", "zones", "*", "*" }, Access::Operator, &AdminApi::issueZoneOrder },
        Route { "POST", { "admin", "endpoints", "*", "*" }, Access::Operator, &AdminApi::issueEndpointOrder },
        Route { "GET", { "admin", "status" }, Access::Viewer, &AdminApi::showStatus },
        Route { "GET", { "admin", "quarantine" }, Access::Viewer, &AdminApi::listQuarantine },
        Route { "DELETE", { "admin", "quarantine", "*" }, Access::Operator, &AdminApi::releaseFromQuarantine },
        Route { "GET", { "admin", "acts" }, Access::Viewer, &AdminApi::listAuditRecords },
    };
    const auto* found = std::find_if(routes.begin(), routes.end(),
        [&](const Route& route) { return route.method == request.method && route.matchesSegments(request.path); });
    return found == routes.end() ? nullptr : found;
}

AdminResponse AdminApi::serve(const AdminRequest& request) const
{
    const Route* route = this->findRoute(request);
    if (route == nullptr)
        return makeErrorResponse(ErrorCode::NotFound, "no such method and path on the admin port");
    if (route->access == Access::Open || !this->options.requireTokens)
        return (this->*route->handler)(request, "");
    const OperatorToken* token = findToken(request.authorization, this->options.tokens);
    if (token == nullptr)
        return makeErrorResponse(ErrorCode::Unauthorized, "a bearer token of the admin port is needed");
    if (route->access == Access::Operator && token->role != OperatorRole::Operator)
        return makeErrorResponse(ErrorCode::Forbidden, "the token's role may read only");
    return (this->*route->handler)(request, token->name);
}

AdminResponse AdminApi::serveHealth(const AdminRequest& request, const std::string&) const
{
    return serveProbes(request, this->probes);
}

AdminResponse AdminApi::serveReadiness(const AdminRequest& request, const std::string&) const
{
    return serveProbes(request, this->probes);
}

AdminResponse AdminApi::serveMetrics(const AdminRequest& request, const std::string&) const
{
    return serveProbes(request, this->probes);
}

AdminResponse AdminApi::publishNote(const AdminRequest& request, const std::string& operatorName) const
{
    auto parsed = parseReleaseNote(request.body);
    if (auto* problems = std::get_if<std::vector<NoteProblem>>(&parsed))
        return renderAdminMessage(NoteInvalid { std::move(*problems) });
    auto& [parsedNote, lines] = std::get<ParsedNote>(parsed);
    ReleaseNote& note = parsedNote;
    if (note.author.empty())
        note.author = operatorName;
    const auto dryRun = request.query.find("dry_run");
    const bool checkOnly = dryRun != request.query.end() && dryRun->second == "true";
    AdminMessage answer = this->callControl([&](AdminRequestId id) {
        return PublishNote { id, note, checkOnly, currentWallTime() };
    });
    if (auto* invalid = std::get_if<NoteInvalid>(&answer))
        addLineNumbers(invalid->problems, lines);
    return renderAdminMessage(answer);
}

AdminResponse AdminApi::listNotes(const AdminRequest& request, const std::string&) const
{
    const auto after = queryNumber(request, "after", 0);
    const auto limit = queryNumber(request, "limit", maxPageSize);
    if (!after || !limit || *limit == 0 || *limit > maxPageSize)
        return makeErrorResponse(ErrorCode::BadRequest, "after is a version and limit a number from 1 to 100");
    const auto count = static_cast<std::uint32_t>(*limit);
    return renderAdminMessage(this->callControl([&](AdminRequestId id) {
        return QueryHistory { id, ReleaseVersion(*after), count };
    }));
}

AdminResponse AdminApi::showNote(const AdminRequest& request, const std::string&) const
{
    const auto version = parseNumber(request.path.back());
    if (!version || *version == 0)
        return makeErrorResponse(ErrorCode::BadRequest, "a version is a number from 1 on");
    AdminMessage answer = this->callControl([&](AdminRequestId id) {
        return QueryHistory { id, ReleaseVersion(*version - 1), 1 };
    });
    const auto* view = std::get_if<HistoryView>(&answer);
    const bool missing = view != nullptr && (view->lines.empty() || view->lines[0].version.get() != *version);
    if (missing)
        return makeErrorResponse(ErrorCode::NotFound, "no note has this version");
    return renderAdminMessage(answer);
}

AdminResponse AdminApi::issueZoneOrder(const AdminRequest& request, const std::string& operatorName) const
{
    return this->issueOrder(ZoneId(request.path[2]), request, operatorName);
}

AdminResponse AdminApi::issueEndpointOrder(const AdminRequest& request, const std::string& operatorName) const
{
    return this->issueOrder(EndpointId(request.path[2]), request, operatorName);
}

AdminResponse AdminApi::issueOrder(
    const OrderSubject& subject, const AdminRequest& request, const std::string& operatorName) const
{
    const std::string& verb = request.path.back();
    if (verb != "out" && verb != "in")
        return makeErrorResponse(ErrorCode::NotFound, "a path ends with out or in");
    const auto attribution = parseAttribution(request.body, operatorName);
    if (!attribution)
        return makeErrorResponse(ErrorCode::BadRequest, "the body is a JSON object with author and reason");
    return renderAdminMessage(this->callControl([&](AdminRequestId id) {
        return IssueOrder { id, subject, verb == "out", attribution->author, attribution->reason, currentWallTime() };
    }));
}

AdminResponse AdminApi::showStatus(const AdminRequest&, const std::string&) const
{
    return renderAdminMessage(this->callControl([](AdminRequestId id) { return QueryConfiguration { id }; }));
}

AdminResponse AdminApi::listQuarantine(const AdminRequest&, const std::string&) const
{
    return renderAdminMessage(this->callControl([](AdminRequestId id) { return QueryQuarantine { id }; }));
}

AdminResponse AdminApi::releaseFromQuarantine(const AdminRequest& request, const std::string& operatorName) const
{
    const auto fingerprint = parseFingerprint(request.path.back());
    if (!fingerprint)
        return makeErrorResponse(ErrorCode::BadRequest, "a fingerprint has 16 hexadecimal digits");
    const auto attribution = parseAttribution(request.body, operatorName);
    if (!attribution)
        return makeErrorResponse(ErrorCode::BadRequest, "the body is a JSON object with author and reason");
    return renderAdminMessage(this->callControl([&](AdminRequestId id) {
        return ReleaseQuarantined { id, *fingerprint, attribution->author, attribution->reason, currentWallTime() };
    }));
}

AdminResponse AdminApi::listAuditRecords(const AdminRequest& request, const std::string&) const
{
    const auto limit = queryNumber(request, "limit", maxPageSize);
    if (!limit || *limit == 0 || *limit > maxPageSize)
        return makeErrorResponse(ErrorCode::BadRequest, "limit is a number from 1 to 100");
    const auto after = request.query.find("after");
    const std::string position = after == request.query.end() ? "" : after->second;
    const auto count = static_cast<std::uint32_t>(*limit);
    return renderAdminMessage(this->callControl([&](AdminRequestId id) {
        return QueryAuditLog { id, position, count };
    }));
}

AdminResponse serveProbes(const AdminRequest& request, const ProbeCallbacks& probes)
{
    const std::string name = request.path.size() == 1 ? request.path[0] : "";
    if (request.method != "GET")
        return makeErrorResponse(ErrorCode::NotFound, "no such method and path on the admin port");
    if (name == "healthz")
        return makePlainTextResponse(200, "alive\n");
    if (name == "readyz")
        return probes.isReady() ? makePlainTextResponse(200, "ready\n") : makePlainTextResponse(503, "not ready\n");
    if (name == "metrics")
        return makePlainTextResponse(200, probes.renderMetrics());
    return makeErrorResponse(ErrorCode::NotFound, "no such method and path on the admin port");
}

AdminResponse makeErrorResponse(ErrorCode code, const std::string& message)
{
    return renderAdminMessage(Failure { code, message, Executed::No, Milliseconds(0) });
}

}
