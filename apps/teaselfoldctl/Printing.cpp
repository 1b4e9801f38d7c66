#include "Printing.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <iomanip>

namespace teaselfold::Ctl {

namespace {

    using Poco::JSON::Array;
    using Poco::JSON::Object;

    std::string fieldText(const Object& json, const std::string& name) { return json.optValue<std::string>(name, "-"); }

    std::string objectId(const Poco::Dynamic::Var& item)
    {
        if (item.type() == typeid(Object::Ptr))
            return fieldText(*item.extract<Object::Ptr>(), "id");
        return item.toString();
    }

    void mergeChange(NetChanges& changes, const std::pair<std::string, std::string>& object, const std::string& section)
    {
        const auto found = changes.find(object);
        if (found == changes.end()) {
            changes.emplace(object, section);
            return;
        }
        const bool wasNew = found->second == "added";
        if (wasNew && section == "withdrawn")
            changes.erase(found);
        else if (!wasNew)
            found->second = section == "withdrawn" ? "withdrawn" : "changed";
    }

    void mergeSection(NetChanges& changes, const Object& note, const std::string& section)
    {
        const Object::Ptr kinds = note.getObject(section);
        if (kinds.isNull())
            return;
        for (const auto& [kind, value] : *kinds) {
            for (const auto& item : *kinds->getArray(kind))
                mergeChange(changes, { kind, objectId(item) }, section);
        }
    }

    std::string endpointState(const Object& endpoint)
    {
        if (endpoint.optValue("out", false))
            return "out";
        if (!endpoint.optValue("reported", false))
            return "silent";
        if (endpoint.optValue("leaving", false))
            return "leaving";
        return endpoint.optValue("cold", false) ? "cold" : "in";
    }

    void printEndpoint(const Object& endpoint, std::ostream& out)
    {
        out << std::left << std::setw(20) << fieldText(endpoint, "id") << std::setw(16) << fieldText(endpoint, "zone")
            << std::setw(18) << fieldText(endpoint, "service") << std::setw(9) << endpointState(endpoint) << std::right;
        for (const char* field : { "version", "running", "queued", "room", "memory_permille", "pace_us", "age_ms" })
            out << std::setw(9) << fieldText(endpoint, field);
        out << "\n";
    }

    void printOrder(const Object& order, std::ostream& out)
    {
        out << "order  " << fieldText(order, "kind") << " " << fieldText(order, "subject") << " "
            << (order.optValue("out", false) ? "out" : "in") << " by " << fieldText(order, "author") << " ("
            << fieldText(order, "reason") << "), "
            << (order.optValue("recorded", false) ? "recorded" : "in force, not yet recorded") << "\n";
    }

    template <typename Print> void forEach(const Object& json, const std::string& name, Print print)
    {
        const Array::Ptr list = json.getArray(name);
        for (std::size_t i = 0; !list.isNull() && i < list->size(); ++i)
            print(*list->getObject(static_cast<unsigned>(i)));
    }

    /** Load of the endpoints in one zone. */
    struct ZoneLoad {
        std::uint32_t running { 0 };
        std::uint32_t queued { 0 };
        std::uint32_t silent { 0 };

        /** @return the load as text, with a note when the zone is out of service, idle and can be switched off. */
        std::string describe(const Object& zone) const
        {
            std::string text = "running " + std::to_string(this->running) + ", queued " + std::to_string(this->queued);
            if (this->silent > 0)
                text += ", " + std::to_string(this->silent) + " endpoints silent";
            const bool idle = this->running + this->queued + this->silent == 0;
            return text + (idle && zone.optValue("out", false) ? ": safe to switch off" : "");
        }
    };

    ZoneLoad zoneLoad(const Object& status, const std::string& zone)
    {
        ZoneLoad load;
        forEach(status, "endpoints", [&](const Object& endpoint) {
            if (fieldText(endpoint, "zone") != zone)
                return;
            load.running += endpoint.optValue<std::uint32_t>("running", 0);
            load.queued += endpoint.optValue<std::uint32_t>("queued", 0);
            load.silent += endpoint.optValue("reported", false) ? 0 : 1;
        });
        return load;
    }

    void printProblem(const Object& problem, std::ostream& out)
    {
        out << "  line " << fieldText(problem, "line") << ", " << fieldText(problem, "place") << ": expected "
            << fieldText(problem, "expected") << "\n";
    }

}

NetChanges summarizeChanges(const Array& notes)
{
    NetChanges changes;
    for (std::size_t i = 0; i < notes.size(); ++i) {
        const Object::Ptr note = notes.getObject(static_cast<unsigned>(i))->getObject("note");
        for (const char* section : { "added", "changed", "withdrawn" })
            mergeSection(changes, *note, section);
    }
    return changes;
}

void printChanges(const NetChanges& changes, std::ostream& out)
{
    for (const auto& [object, change] : changes)
        out << std::left << std::setw(10) << change << " " << std::setw(10) << object.first << " " << object.second
            << "\n";
}

void printHistory(const Array& notes, std::ostream& out)
{
    for (std::size_t i = 0; i < notes.size(); ++i) {
        const Object::Ptr line = notes.getObject(static_cast<unsigned>(i));
        const Object::Ptr note = line->getObject("note");
        out << std::right << std::setw(6) << fieldText(*line, "version") << "  " << std::left << std::setw(20)
            << fieldText(*note, "id") << " " << std::setw(16) << fieldText(*note, "author") << " "
            << fieldText(*note, "reason") << "\n";
    }
}

void printStatus(const Object& status, std::ostream& out)
{
    out << "version " << fieldText(status, "version") << ", table "
        << (status.optValue("table_reachable", false) ? "answers" : "does not answer") << "\n";
    forEach(status, "zones", [&](const Object& zone) {
        out << "zone   " << std::left << std::setw(16) << fieldText(zone, "id") << " " << std::setw(4)
            << (zone.optValue("out", false) ? "out" : "in") << zoneLoad(status, fieldText(zone, "id")).describe(zone)
            << "\n";
    });
    forEach(status, "orders", [&](const Object& order) { printOrder(order, out); });
    out << std::left << std::setw(20) << "endpoint" << std::setw(16) << "zone" << std::setw(18) << "service"
        << std::setw(9) << "state" << std::right;
    for (const char* title : { "version", "running", "queued", "room", "mem/1000", "pace us", "age ms" })
        out << std::setw(9) << title;
    out << "\n";
    forEach(status, "endpoints", [&](const Object& endpoint) { printEndpoint(endpoint, out); });
}

void printSuspects(const Object& reply, std::ostream& out)
{
    out << "fingerprint       deaths  seconds  state\n";
    forEach(reply, "suspects", [&](const Object& suspect) {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        out << std::left << std::setw(18) << fieldText(suspect, "fingerprint") << std::right << std::setw(6)
            << fieldText(suspect, "deaths") << std::setw(9)
            << suspect.optValue<std::int64_t>("remaining_ms", 0) / millisecondsPerSecond << "  "
            << (suspect.optValue("refused", false) ? "refused" : "watched") << "\n";
    });
}

void printAuditLog(const Array& records, std::ostream& out)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const Object::Ptr record = records.getObject(static_cast<unsigned>(i));
        const Poco::Timestamp at(record->optValue<Poco::Int64>("at_ms", 0) * microsecondsPerMillisecond);
        out << Poco::DateTimeFormatter::format(at, "%Y-%m-%dT%H:%M:%SZ") << "  " << std::left << std::setw(17)
            << fieldText(*record, "kind") << " " << std::setw(26) << fieldText(*record, "subject") << " "
            << std::setw(16) << fieldText(*record, "author") << " " << fieldText(*record, "id") << "  "
            << fieldText(*record, "reason") << (record->optValue("recorded", false) ? "" : "  (not yet recorded)")
            << "\n";
    }
}

void printError(const Object& reply, std::ostream& out)
{
    const Object::Ptr error = reply.getObject("error");
    if (error.isNull())
        return;
    out << "refused: " << fieldText(*error, "message") << " (" << fieldText(*error, "code")
        << ", run: " << fieldText(*error, "run") << ")\n";
    forEach(reply, "problems", [&](const Object& problem) { printProblem(problem, out); });
    const Object::Ptr winner = reply.getObject("winner");
    if (!winner.isNull())
        printOrder(*winner, out);
}

}
