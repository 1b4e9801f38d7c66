#include "core/common/FleetUpdate.h"

#include "core/common/HandlerTable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace teaselfold {

namespace {

    constexpr std::size_t maximumIdLength = 64;
    constexpr std::uint32_t maximumWeight = 1000;
    constexpr std::uint32_t maximumPercent = 100;
    constexpr std::size_t tokenHashLength = 64;

    bool isIdCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.';
    }

    bool isValidId(const std::string& id)
    {
        return !id.empty() && id.size() <= maximumIdLength && std::all_of(id.begin(), id.end(), isIdCharacter);
    }

    bool isLowerHex(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

    bool isValidTokenHash(const std::string& hash)
    {
        return hash.empty() || (hash.size() == tokenHashLength && std::all_of(hash.begin(), hash.end(), isLowerHex));
    }

    bool isAllowed(const std::vector<std::string>& names, const std::string& name)
    {
        return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
    }

    std::string joined(const std::vector<std::string>& names)
    {
        std::string text;
        for (const std::string& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    /** Validates each change of a note and collects the problems. */
    class NoteChecker {
    public:
        NoteChecker(const Fleet& before, const Fleet& after, const StrategyNames& strategies)
            : before(before)
            , after(after)
            , strategies(strategies)
        {
        }

        void putZone(const Put<Zone>& put) { this->beginPut(put, "zones", this->before.zones); }

        void putService(const Put<Service>& put)
        {
            this->beginPut(put, "services", this->before.services);
            const Service& service = put.object;
            this->checkTargets(service);
            this->checkPolicy(service.policy);
            this->expect(service.bulkhead > 0, ".bulkhead", "a number above 0");
            for (std::size_t i = 0; i < service.nonRepeatable.size(); ++i)
                this->checkNonRepeatable(service.nonRepeatable[i], ".non_repeatable[" + std::to_string(i) + "]");
            this->expect(service.kind == ServiceKind::Plain || service.nonRepeatable.empty(), ".non_repeatable",
                "only services of kind plain have one");
        }

        void putModel(const Put<Model>& put)
        {
            this->beginPut(put, "models", this->before.models);
            const auto service = this->after.services.find(put.object.service);
            const bool known = service != this->after.services.end();
            this->expect(known, ".service", "a service of the fleet, not '" + put.object.service.get() + "'");
            this->expect(!known || service->second.kind == ServiceKind::Model, ".service", "a service of kind model");
        }

        void putEndpoint(const Put<Endpoint>& put)
        {
            this->beginPut(put, "endpoints", this->before.endpoints);
            const Endpoint& endpoint = put.object;
            this->expect(this->after.zones.contains(endpoint.zone), ".zone",
                "an availability zone of the fleet, not '" + endpoint.zone.get() + "'");
            this->expect(this->after.services.contains(endpoint.service), ".service",
                "a service of the fleet, not '" + endpoint.service.get() + "'");
            this->expect(isIpAddress(endpoint.agent.host) && endpoint.agent.port != 0, ".agent",
                "an IP number and a port, such as 10.0.0.1:7101");
            for (const auto& [id, other] : this->after.endpoints)
                this->expect(id == endpoint.id || other.agent != endpoint.agent, ".agent",
                    "an address of its own, not that of endpoint '" + id.get() + "'");
        }

        void putTeam(const Put<Team>& put)
        {
            this->beginPut(put, "teams", this->before.teams);
            const Team& team = put.object;
            this->expect(team.weight > 0 && team.weight <= maximumWeight, ".weight", "a number from 1 to 1000");
            this->expect(team.maxInProgress > 0, ".max_in_progress", "a number above 0");
            this->expect(isValidTokenHash(team.tokenHash), ".token_hash", "a lower-case hexadecimal SHA-256, or none");
        }

        void withdrawZone(const Withdraw<ZoneId>& withdraw)
        {
            this->beginWithdraw(withdraw, "zones", this->before.zones);
            for (const auto& [id, endpoint] : this->after.endpoints)
                this->expect(endpoint.zone != withdraw.id, "", "an unused zone; endpoint '" + id.get() + "' is in it");
        }

        void withdrawService(const Withdraw<ServiceId>& withdraw)
        {
            this->beginWithdraw(withdraw, "services", this->before.services);
            for (const auto& [id, endpoint] : this->after.endpoints)
                this->expect(
                    endpoint.service != withdraw.id, "", "an unused service; endpoint '" + id.get() + "' hosts it");
            for (const auto& [id, model] : this->after.models)
                this->expect(model.service != withdraw.id, "", "an unused service; model '" + id.get() + "' is in it");
        }

        void withdrawModel(const Withdraw<ModelId>& withdraw)
        {
            this->beginWithdraw(withdraw, "models", this->before.models);
        }

        void withdrawEndpoint(const Withdraw<EndpointId>& withdraw)
        {
            this->beginWithdraw(withdraw, "endpoints", this->before.endpoints);
        }

        void withdrawTeam(const Withdraw<TeamId>& withdraw)
        {
            this->beginWithdraw(withdraw, "teams", this->before.teams);
        }

        void expect(bool condition, const std::string& field, const std::string& expected)
        {
            if (!condition)
                this->problems.push_back(NoteProblem { this->place + field, expected });
        }

        std::vector<NoteProblem> problems;

    private:
        /** Makes the next item of a list the place at which problems are reported. */
        void setPlace(const std::string& section, const std::string& kind)
        {
            const std::string list = section + "." + kind;
            this->place = list + "[" + std::to_string(this->counts[list]++) + "]";
        }

        void checkUnique(const std::string& kind, const std::string& id)
        {
            const bool first = this->seen.emplace(kind, id).second;
            this->expect(first, ".id", "each id once in a note; '" + id + "' was named before");
        }

        template <typename Object, typename Objects>
        void beginPut(const Put<Object>& put, const std::string& kind, const Objects& known)
        {
            const std::string& id = put.object.id.get();
            this->setPlace(put.replaces ? "changed" : "added", kind);
            this->checkUnique(kind, id);
            this->expect(isValidId(id), ".id", "1 to 64 letters, digits, '-', '_' or '.'");
            const bool exists = known.contains(put.object.id);
            this->expect(put.replaces || !exists, ".id", "a new id; '" + id + "' exists, so list it under changed");
            this->expect(!put.replaces || exists, ".id", "an id of the fleet; '" + id + "' does not exist");
        }

        template <typename ObjectId, typename Objects>
        void beginWithdraw(const Withdraw<ObjectId>& withdraw, const std::string& kind, const Objects& known)
        {
            this->setPlace("withdrawn", kind);
            this->checkUnique(kind, withdraw.id.get());
            this->expect(
                known.contains(withdraw.id), "", "an id of the fleet; '" + withdraw.id.get() + "' does not exist");
        }

        void checkTargets(const Service& service)
        {
            this->expect(service.targets.size() == priorityClassCount, ".targets", "one target for each class");
            const auto positive = [](const LatencyTarget& target) {
                return target.firstToken > Milliseconds(0) && target.betweenTokens > Milliseconds(0);
            };
            this->expect(std::all_of(service.targets.begin(), service.targets.end(), positive), ".targets",
                "durations above 0ms");
        }

        void checkPolicy(const ServicePolicy& policy)
        {
            this->expect(isAllowed(this->strategies.routing, policy.routing), ".policy.routing",
                "one of: " + joined(this->strategies.routing));
            this->expect(isAllowed(this->strategies.admission, policy.admission), ".policy.admission",
                "one of: " + joined(this->strategies.admission));
            this->expect(policy.fixedSlots > 0, ".policy.fixed_slots", "a number above 0");
            this->expect(
                policy.overflowPercent <= maximumPercent, ".policy.overflow_percent", "a number from 0 to 100");
        }

        void checkNonRepeatable(const NonRepeatable& rule, const std::string& field)
        {
            const auto isUpper = [](char c) { return c >= 'A' && c <= 'Z'; };
            this->expect(!rule.method.empty() && std::all_of(rule.method.begin(), rule.method.end(), isUpper),
                field + ".method", "an HTTP method in capital letters");
            this->expect(rule.pathPrefix.starts_with('/'), field + ".path_prefix", "a path that starts with '/'");
        }

        const Fleet& before;
        const Fleet& after;
        const StrategyNames& strategies;
        std::string place;
        std::map<std::string, std::size_t> counts;
        std::set<std::pair<std::string, std::string>> seen;
    };

    constexpr HandlerTable<NoteChecker, void, FleetChange> checkerTable(&NoteChecker::putZone, &NoteChecker::putService,
        &NoteChecker::putModel, &NoteChecker::putEndpoint, &NoteChecker::putTeam, &NoteChecker::withdrawZone,
        &NoteChecker::withdrawService, &NoteChecker::withdrawModel, &NoteChecker::withdrawEndpoint,
        &NoteChecker::withdrawTeam);

    bool isIpv4Part(const std::string& part)
    {
        constexpr unsigned maximumPart = 255;
        constexpr std::size_t maximumDigits = 3;
        unsigned value = 0;
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
        return error == std::errc {} && end == part.data() + part.size() && part.size() <= maximumDigits
            && value <= maximumPart;
    }

    bool isIpv4(const std::string& host)
    {
        constexpr int partCount = 4;
        std::size_t start = 0;
        int parts = 0;
        while (start <= host.size()) {
            const std::size_t end = std::min(host.find('.', start), host.size());
            if (!isIpv4Part(host.substr(start, end - start)))
                return false;
            ++parts;
            start = end + 1;
        }
        return parts == partCount;
    }

    bool isIpv6(const std::string& host)
    {
        const auto allowed = [](char c) {
            return c == ':' || (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
        };
        return std::count(host.begin(), host.end(), ':') >= 2 && std::all_of(host.begin(), host.end(), allowed);
    }

}

bool isIpAddress(const std::string& host) { return isIpv4(host) || isIpv6(host); }

std::vector<NoteProblem> checkNote(const Fleet& fleet, const ReleaseNote& note, const StrategyNames& strategies)
{
    const Fleet after = applyNote(fleet, note);
    NoteChecker checker(fleet, after, strategies);
    checker.expect(isValidId(note.id.get()), "id", "1 to 64 letters, digits, '-', '_' or '.'");
    checker.expect(!note.author.empty(), "author", "the name of who publishes the note");
    checker.expect(!note.reason.empty(), "reason", "why the note is published");
    checker.expect(!note.changes.empty(), "changes", "at least one object added, changed or withdrawn");
    for (const FleetChange& change : note.changes)
        checkerTable.dispatch(checker, change);
    return std::move(checker.problems);
}

}
