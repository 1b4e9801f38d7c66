#include "Printing.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <iomanip>

namespace teaselfold::Ctl {

namespace {

    using Poco::JSON::Array;
    using Poco::JSON::Object;

    std::string textOf(const Object& json, const std::string& name) { return json.optValue<std::string>(name, "-"); }

    std::string idOf(const Poco::Dynamic::Var& item)
    {
        if (item.type() == typeid(Object::Ptr))
            return textOf(*item.extract<Object::Ptr>(), "id");
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
                mergeChange(changes, { kind, idOf(item) }, section);
        }
    }

    std::string stateOf(const Object& endpoint)
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
        out << std::left << std::setw(20) << textOf(endpoint, "id") << std::setw(16) << textOf(endpoint, "zone")
            << std::setw(18) << textOf(endpoint, "service") << std::setw(9) << stateOf(endpoint) << std::right;
        for (const char* field : { "version", "running", "queued", "room", "memory_permille", "pace_us", "age_ms" })
            out << std::setw(9) << textOf(endpoint, field);
        out << "\n";
    }

    void printOrder(const Object& order, std::ostream& out)
    {
        out << "order  " << textOf(order, "kind") << " " << textOf(order, "subject") << " "
            << (order.optValue("out", false) ? "out" : "in") << " by " << textOf(order, "author") << " ("
            << textOf(order, "reason") << "), "
            << (order.optValue("recorded", false) ? "recorded" : "in force, not yet recorded") << "\n";
    }

    template <typename Print> void forEach(const Object& json, const std::string& name, Print print)
    {
        const Array::Ptr list = json.getArray(name);
        for (std::size_t i = 0; !list.isNull() && i < list->size(); ++i)
            print(*list->getObject(static_cast<unsigned>(i)));
    }

    /** Work in progress at the endpoints of one zone. */
    struct ZoneWork {
        std::uint32_t running { 0 };
        std::uint32_t queued { 0 };
        std::uint32_t silent { 0 };

        /** @return the work in words, with the word that tells when an operator may switch the zone off. */
        std::string describe(const Object& zone) const
        {
            std::string text = "running " + std::to_string(this->running) + ", queued " + std::to_string(this->queued);
            if (this->silent > 0)
                text += ", " + std::to_string(this->silent) + " endpoints silent";
            const bool idle = this->running + this->queued + this->silent == 0;
            return text + (idle && zone.optValue("out", false) ? ": safe to switch off" : "");
        }
    };

    ZoneWork workIn(const Object& status, const std::string& zone)
    {
        ZoneWork work;
        forEach(status, "endpoints", [&](const Object& endpoint) {
            if (textOf(endpoint, "zone") != zone)
                return;
            work.running += endpoint.optValue<std::uint32_t>("running", 0);
            work.queued += endpoint.optValue<std::uint32_t>("queued", 0);
            work.silent += endpoint.optValue("reported", false) ? 0 : 1;
        });
        return work;
    }

    void printProblem(const Object& problem, std::ostream& out)
    {
        out << "  line " << textOf(problem, "line") << ", " << textOf(problem, "place") << ": expected "
            << textOf(problem, "expected") << "\n";
    }

}

NetChanges summarize(const Array& notes)
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
    for (const auto& [object, what] : changes)
        out << std::left << std::setw(10) << what << " " << std::setw(10) << object.first << " " << object.second
            << "\n";
}

void printHistory(const Array& notes, std::ostream& out)
{
    for (std::size_t i = 0; i < notes.size(); ++i) {
        const Object::Ptr line = notes.getObject(static_cast<unsigned>(i));
        const Object::Ptr note = line->getObject("note");
        out << std::right << std::setw(6) << textOf(*line, "version") << "  " << std::left << std::setw(20)
            << textOf(*note, "id") << " " << std::setw(16) << textOf(*note, "author") << " " << textOf(*note, "reason")
            << "\n";
    }
}

void printStatus(const Object& status, std::ostream& out)
{
    out << "version " << textOf(status, "version") << ", table "
        << (status.optValue("table_reachable", false) ? "answers" : "does not answer") << "\n";
    forEach(status, "zones", [&](const Object& zone) {
        out << "zone   " << std::left << std::setw(16) << textOf(zone, "id") << " " << std::setw(4)
            << (zone.optValue("out", false) ? "out" : "in") << workIn(status, textOf(zone, "id")).describe(zone)
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

void printSuspects(const Object& answer, std::ostream& out)
{
    out << "fingerprint       deaths  seconds  state\n";
    forEach(answer, "suspects", [&](const Object& suspect) {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        out << std::left << std::setw(18) << textOf(suspect, "fingerprint") << std::right << std::setw(6)
            << textOf(suspect, "deaths") << std::setw(9)
            << suspect.optValue<std::int64_t>("remaining_ms", 0) / millisecondsPerSecond << "  "
            << (suspect.optValue("refused", false) ? "refused" : "watched") << "\n";
    });
}

void printActs(const Array& acts, std::ostream& out)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    for (std::size_t i = 0; i < acts.size(); ++i) {
        const Object::Ptr act = acts.getObject(static_cast<unsigned>(i));
        const Poco::Timestamp at(act->optValue<Poco::Int64>("at_ms", 0) * microsecondsPerMillisecond);
        out << Poco::DateTimeFormatter::format(at, "%Y-%m-%dT%H:%M:%SZ") << "  " << std::left << std::setw(17)
            << textOf(*act, "kind") << " " << std::setw(26) << textOf(*act, "subject") << " " << std::setw(16)
            << textOf(*act, "author") << " " << textOf(*act, "id") << "  " << textOf(*act, "reason")
            << (act->optValue("recorded", false) ? "" : "  (not yet recorded)") << "\n";
    }
}

void printError(const Object& answer, std::ostream& out)
{
    const Object::Ptr error = answer.getObject("error");
    if (error.isNull())
        return;
    out << "refused: " << textOf(*error, "message") << " (" << textOf(*error, "code")
        << ", run: " << textOf(*error, "run") << ")\n";
    forEach(answer, "problems", [&](const Object& problem) { printProblem(problem, out); });
    const Object::Ptr winner = answer.getObject("winner");
    if (!winner.isNull())
        printOrder(*winner, out);
}

}
