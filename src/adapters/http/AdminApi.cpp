#include "adapters/http/AdminApi.h"

#include "adapters/fleet/ReleaseNoteYaml.h"
#include "adapters/http/AdminTokens.h"
#include "core/control/ReleaseKeys.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace teaselfold::Internal {

namespace {

    constexpr std::uint32_t historyLimit = 100;

    enum class Access : std::uint8_t {
        Open,
        Viewer,
        Operator,
    };

    AdminResponse plainText(std::uint16_t status, std::string body)
    {
        AdminResponse response;
        response.status = status;
        response.body = std::move(body);
        response.contentType = "text/plain; version=0.0.4";
        return response;
    }

    WallTime wallTime() { return std::chrono::floor<Milliseconds>(std::chrono::system_clock::now()); }

    std::optional<std::uint64_t> parseNumber(const std::string& text)
    {
        std::uint64_t value = 0;
        const char* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        if (text.empty() || error != std::errc {} || stop != end)
            return std::nullopt;
        return value;
    }

    std::optional<std::uint64_t> numberOf(const AdminRequest& request, const std::string& name, std::uint64_t fallback)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? fallback : parseNumber(found->second);
    }

    /** Who acts and why. */
    struct ActReason {
        std::string author;
        std::string reason;
    };

    std::optional<ActReason> parseReason(const std::string& body, const std::string& operatorName)
    {
        try {
            const auto json = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
            ActReason act;
            act.author = json->optValue<std::string>("author", operatorName);
            act.reason = json->optValue<std::string>("reason", "");
            return act;
        } catch (const Poco::Exception&) {
            return std::nullopt;
        }
    }

}

/** A method and a path; "*" stands for any one part. */
struct AdminApi::Route {
    std::string_view method;
    std::vector<std::string_view> path;
    Access access;
    Handler handler;

    bool matchesPath(const std::vector<std::string>& parts) const
    {
        const auto same = [](std::string_view pattern, const std::string& part) {
            return pattern == "*" ? !part.empty() : pattern == part;
        };
        return std::equal(this->path.begin(), this->path.end(), parts.begin(), parts.end(), same);
    }
};

AdminApi::AdminApi(const AdminServerOptions& options, ProbeSources probes, Ask ask)
    : options(options)
    , probes(std::move(probes))
    , ask(std::move(ask))
{
}

const AdminApi::Route* AdminApi::findRoute(const AdminRequest& request) const
{
    static const std::array routes {
        Route { "GET", { "healthz" }, Access::Open, &AdminApi::healthz },
        Route { "GET", { "readyz" }, Access::Open, &AdminApi::readyz },
        Route { "GET", { "metrics" }, Access::Open, &AdminApi::metrics },
        Route { "POST", { "admin", "notes" }, Access::Operator, &AdminApi::publish },
        Route { "GET", { "admin", "notes" }, Access::Viewer, &AdminApi::history },
        Route { "GET", { "admin", "notes", "*" }, Access::Viewer, &AdminApi::show },
        Route { "POST", { "admin", "zones", "*", "*" }, Access::Operator, &AdminApi::orderZone },
        Route { "POST", { "admin", "endpoints", "*", "*" }, Access::Operator, &AdminApi::orderEndpoint },
        Route { "GET", { "admin", "status" }, Access::Viewer, &AdminApi::status },
        Route { "GET", { "admin", "quarantine" }, Access::Viewer, &AdminApi::quarantine },
        Route { "DELETE", { "admin", "quarantine", "*" }, Access::Operator, &AdminApi::release },
        Route { "GET", { "admin", "acts" }, Access::Viewer, &AdminApi::acts },
    };
    const auto* found = std::find_if(routes.begin(), routes.end(),
        [&](const Route& route) { return route.method == request.method && route.matchesPath(request.path); });
    return found == routes.end() ? nullptr : found;
}

AdminResponse AdminApi::serve(const AdminRequest& request) const
{
    const Route* route = this->findRoute(request);
    if (route == nullptr)
        return refuse(ErrorCode::NotFound, "no such method and path on the admin port");
    if (route->access == Access::Open || !this->options.requireTokens)
        return (this->*route->handler)(request, "");
    const OperatorToken* token = findToken(request.authorization, this->options.tokens);
    if (token == nullptr)
        return refuse(ErrorCode::Unauthorized, "a bearer token of the admin port is needed");
    if (route->access == Access::Operator && token->role != OperatorRole::Operator)
        return refuse(ErrorCode::Forbidden, "the token's role may read only");
    return (this->*route->handler)(request, token->name);
}

AdminResponse AdminApi::healthz(const AdminRequest& request, const std::string&) const
{
    return serveProbes(request, this->probes);
}

AdminResponse AdminApi::readyz(const AdminRequest& request, const std::string&) const
{
    return serveProbes(request, this->probes);
}

AdminResponse AdminApi::metrics(const AdminRequest& request, const std::string&) const
{
    return serveProbes(request, this->probes);
}

AdminResponse AdminApi::publish(const AdminRequest& request, const std::string& operatorName) const
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
    AdminMessage answer = this->ask([&](AdminId admin) { return PublishNote { admin, note, checkOnly, wallTime() }; });
    if (auto* invalid = std::get_if<NoteInvalid>(&answer))
        addLineNumbers(invalid->problems, lines);
    return renderAdminMessage(answer);
}

AdminResponse AdminApi::history(const AdminRequest& request, const std::string&) const
{
    const auto after = numberOf(request, "after", 0);
    const auto limit = numberOf(request, "limit", historyLimit);
    if (!after || !limit || *limit == 0 || *limit > historyLimit)
        return refuse(ErrorCode::BadRequest, "after is a version and limit a number from 1 to 100");
    const auto count = static_cast<std::uint32_t>(*limit);
    return renderAdminMessage(this->ask([&](AdminId admin) {
        return QueryHistory { admin, ReleaseVersion(*after), count };
    }));
}

AdminResponse AdminApi::show(const AdminRequest& request, const std::string&) const
{
    const auto version = parseNumber(request.path.back());
    if (!version || *version == 0)
        return refuse(ErrorCode::BadRequest, "a version is a number from 1 on");
    AdminMessage answer = this->ask([&](AdminId admin) {
        return QueryHistory { admin, ReleaseVersion(*version - 1), 1 };
    });
    const auto* view = std::get_if<HistoryView>(&answer);
    const bool missing = view != nullptr && (view->lines.empty() || view->lines[0].version.get() != *version);
    if (missing)
        return refuse(ErrorCode::NotFound, "no note has this version");
    return renderAdminMessage(answer);
}

AdminResponse AdminApi::orderZone(const AdminRequest& request, const std::string& operatorName) const
{
    return this->giveOrder(ZoneId(request.path[2]), request, operatorName);
}

AdminResponse AdminApi::orderEndpoint(const AdminRequest& request, const std::string& operatorName) const
{
    return this->giveOrder(EndpointId(request.path[2]), request, operatorName);
}

AdminResponse AdminApi::giveOrder(
    const OrderSubject& subject, const AdminRequest& request, const std::string& operatorName) const
{
    const std::string& verb = request.path.back();
    if (verb != "out" && verb != "in")
        return refuse(ErrorCode::NotFound, "a path ends with out or in");
    const auto act = parseReason(request.body, operatorName);
    if (!act)
        return refuse(ErrorCode::BadRequest, "the body is a JSON object with author and reason");
    return renderAdminMessage(this->ask([&](AdminId admin) {
        return GiveOrder { admin, subject, verb == "out", act->author, act->reason, wallTime() };
    }));
}

AdminResponse AdminApi::status(const AdminRequest&, const std::string&) const
{
    return renderAdminMessage(this->ask([](AdminId admin) { return QueryConfiguration { admin }; }));
}

AdminResponse AdminApi::quarantine(const AdminRequest&, const std::string&) const
{
    return renderAdminMessage(this->ask([](AdminId admin) { return QueryQuarantine { admin }; }));
}

AdminResponse AdminApi::release(const AdminRequest& request, const std::string& operatorName) const
{
    const auto fingerprint = parseFingerprint(request.path.back());
    if (!fingerprint)
        return refuse(ErrorCode::BadRequest, "a fingerprint has 16 hexadecimal digits");
    const auto act = parseReason(request.body, operatorName);
    if (!act)
        return refuse(ErrorCode::BadRequest, "the body is a JSON object with author and reason");
    return renderAdminMessage(this->ask([&](AdminId admin) {
        return ReleaseQuarantined { admin, *fingerprint, act->author, act->reason, wallTime() };
    }));
}

AdminResponse AdminApi::acts(const AdminRequest& request, const std::string&) const
{
    const auto limit = numberOf(request, "limit", historyLimit);
    if (!limit || *limit == 0 || *limit > historyLimit)
        return refuse(ErrorCode::BadRequest, "limit is a number from 1 to 100");
    const auto after = request.query.find("after");
    const std::string position = after == request.query.end() ? "" : after->second;
    const auto count = static_cast<std::uint32_t>(*limit);
    return renderAdminMessage(this->ask([&](AdminId admin) { return QueryActs { admin, position, count }; }));
}

AdminResponse serveProbes(const AdminRequest& request, const ProbeSources& probes)
{
    const std::string name = request.path.size() == 1 ? request.path[0] : "";
    if (request.method != "GET")
        return refuse(ErrorCode::NotFound, "no such method and path on the admin port");
    if (name == "healthz")
        return plainText(200, "alive\n");
    if (name == "readyz")
        return probes.isReady() ? plainText(200, "ready\n") : plainText(503, "not ready\n");
    if (name == "metrics")
        return plainText(200, probes.renderMetrics());
    return refuse(ErrorCode::NotFound, "no such method and path on the admin port");
}

AdminResponse refuse(ErrorCode code, const std::string& message)
{
    return renderAdminMessage(Failure { code, message, Run::No, Milliseconds(0) });
}

}
