#include "support/Transcript.h"

#include <iomanip>
#include <sstream>

namespace teaselfold::testing {

namespace {

    template <typename... Visitors> struct Overload : Visitors... {
        using Visitors::operator()...;
    };
    template <typename... Visitors> Overload(Visitors...) -> Overload<Visitors...>;

    template <typename Value> std::string number(const Value& value) { return std::to_string(value); }

    std::string flag(bool value) { return value ? "yes" : "no"; }

    std::string subjectName(const OrderSubject& subject)
    {
        return std::visit([](const auto& id) { return id.get(); }, subject);
    }

    Line say(std::string what, std::vector<std::pair<std::string, std::string>> fields = {})
    {
        Line line;
        line.what = std::move(what);
        line.fields = std::move(fields);
        return line;
    }

    Line sayFailure(std::string what, const Failure& failure)
    {
        return say(std::move(what),
            { { "code", std::string(errorCodeName(failure.code)) },
                { "run", std::string(executedName(failure.run)) } });
    }

    std::string joined(const std::vector<std::string>& texts)
    {
        std::string all;
        for (const auto& text : texts)
            all += text;
        return all;
    }

    std::string ordersText(const std::vector<ServiceOrder>& orders)
    {
        std::string all;
        for (const auto& order : orders)
            all += (all.empty() ? "" : ",") + subjectName(order.subject) + (order.out ? ":out" : ":in");
        return all;
    }

}

std::string Line::field(const std::string& name) const
{
    for (const auto& [key, value] : this->fields) {
        if (key == name)
            return value;
    }
    return {};
}

std::string Line::text() const
{
    std::ostringstream out;
    out << std::setw(6) << this->at.count() << "ms  " << this->from;
    if (!this->to.empty())
        out << " -> " << this->to;
    out << "  " << this->what;
    for (const auto& [key, value] : this->fields)
        out << ' ' << key << '=' << value;
    return out.str();
}

std::string ShortNames::of(const std::string& prefix, std::uint64_t id)
{
    auto [found, added] = this->names.try_emplace({ prefix, id });
    if (added)
        found->second = prefix + std::to_string(++this->counts[prefix]);
    return found->second;
}

std::string Transcript::text(Milliseconds from) const
{
    std::string all;
    for (const auto& line : this->entries) {
        if (line.at >= from)
            all += line.text() + "\n";
    }
    return all;
}

Line Describer::entryMessage(const EntryMessage& message)
{
    return std::visit(
        Overload {
            [&](const SubmitGeneration& m) {
                return say("submit", { { "gen", this->generation(m.generation) }, { "team", m.work.team.get() } });
            },
            [&](const CancelGeneration& m) {
                return say("cancel", { { "gen", this->generation(m.generation) } });
            },
            [&](const ResumeGeneration& m) {
                return say("resume", { { "gen", this->generation(m.generation) }, { "next", number(m.nextIndex) } });
            },
            [&](const AcknowledgeTokens& m) {
                return say(
                    "acknowledge", { { "gen", this->generation(m.generation) }, { "next", number(m.nextIndex) } });
            },
            [&](const SubmitCall& m) {
                return say("call", { { "gen", this->generation(m.call) }, { "key", m.work.key.get() } });
            },
            [&](const FleetCopy& m) {
                return say("fleet", { { "version", number(m.fleet.version.get()) } });
            },
            [&](const NoteDelivery& m) {
                return say("note", { { "version", number(m.version.get()) } });
            },
            [&](const OrdersDelivery& m) {
                return say("orders", { { "orders", ordersText(m.orders) } });
            },
            [&](const QuarantineDelivery& m) {
                return say("quarantine", { { "suspects", number(m.suspects.size()) } });
            },
            [&](const FleetRequest&) { return say("fleet-request"); },
            [&](const auto&) { return Line {}; },
        },
        message);
}

Line Describer::agentMessage(const AgentMessage& message)
{
    return std::visit(Overload {
                          [&](const GenerationAccepted& m) {
                              return say("accepted", { { "gen", this->generation(m.generation) } });
                          },
                          [&](const GenerationRefused& m) {
                              return say("refused",
                                  { { "gen", this->generation(m.generation) },
                                      { "code", std::string(errorCodeName(m.code)) }, { "run", "no" } });
                          },
                          [&](const GenerationStarted& m) {
                              return say("started", { { "gen", this->generation(m.generation) } });
                          },
                          [&](const GenerationTokens& m) {
                              return say("tokens",
                                  { { "gen", this->generation(m.generation) }, { "first", number(m.firstIndex) },
                                      { "count", number(m.texts.size()) } });
                          },
                          [&](const GenerationFinished& m) {
                              return say("finished",
                                  { { "gen", this->generation(m.generation) }, { "count", number(m.tokenCount) } });
                          },
                          [&](const GenerationFailed& m) {
                              Line line = sayFailure("failed", m.failure);
                              line.fields.insert(line.fields.begin(), { "gen", this->generation(m.generation) });
                              return line;
                          },
                          [&](const GenerationUnknown& m) {
                              return say("unknown", { { "gen", this->generation(m.generation) } });
                          },
                          [&](const CallAnswered& m) {
                              return say("answered",
                                  { { "gen", this->generation(m.call) }, { "status", number(m.status) },
                                      { "replayed", flag(m.replayed) } });
                          },
                          [&](const CallFailed& m) {
                              Line line = sayFailure("call-failed", m.failure);
                              line.fields.insert(line.fields.begin(), { "gen", this->generation(m.call) });
                              return line;
                          },
                          [&](const FleetCopy& m) {
                              return say("fleet", { { "version", number(m.fleet.version.get()) } });
                          },
                          [&](const NoteDelivery& m) {
                              return say("note", { { "version", number(m.version.get()) } });
                          },
                          [&](const OrdersDelivery& m) {
                              return say("orders", { { "orders", ordersText(m.orders) } });
                          },
                          [&](const QuarantineDelivery& m) {
                              return say("quarantine", { { "suspects", number(m.suspects.size()) } });
                          },
                          [&](const auto&) { return Line {}; },
                      },
        message);
}

Line Describer::callerMessage(const CallerMessage& message)
{
    return std::visit(
        Overload {
            [&](const CallerTokens& m) {
                return say("tokens",
                    { { "gen", this->generation(m.token.generation) }, { "first", number(m.firstIndex) },
                        { "count", number(m.texts.size()) }, { "text", joined(m.texts) } });
            },
            [&](const CallerRestart& m) {
                return say("restart", { { "gen", this->generation(m.token.generation) } });
            },
            [&](const CallerFinished& m) {
                return say("finished", { { "count", number(m.tokenCount) } });
            },
            [&](const CallerCompletion& m) {
                return say("completion",
                    { { "gen", this->generation(m.generation) }, { "count", number(m.tokenCount) },
                        { "text", m.text } });
            },
            [&](const CallerServiceResponse& m) {
                return say(
                    "answer", { { "status", number(m.status) }, { "body", m.body }, { "replayed", flag(m.replayed) } });
            },
            [&](const CallerFailure& m) { return sayFailure("failure", m.failure); },
        },
        message);
}

Line Describer::adminMessage(const AdminMessage& message)
{
    return std::visit(Overload {
                          [&](const NoteAccepted& m) {
                              return say("note-accepted", { { "version", number(m.version.get()) } });
                          },
                          [&](const NoteStale& m) {
                              return say("note-stale", { { "current", number(m.current.get()) } });
                          },
                          [&](const NoteInvalid& m) {
                              return say("note-invalid", { { "problems", number(m.problems.size()) } });
                          },
                          [&](const OrderAccepted& m) {
                              return say("order-taken",
                                  { { "subject", subjectName(m.order.subject) }, { "out", flag(m.order.out) },
                                      { "recorded", flag(m.order.recorded) } });
                          },
                          [&](const OrderSuperseded& m) {
                              return say("order-superseded",
                                  { { "subject", subjectName(m.winner.subject) }, { "out", flag(m.winner.out) } });
                          },
                          [&](const Failure& m) { return sayFailure("failure", m); },
                          [&](const auto&) { return say("view"); },
                      },
        message);
}

Line Describer::engineCommand(const EngineCommand& command)
{
    return std::visit(
        Overload {
            [&](const EngineStart& m) {
                return say("start", { { "gen", this->generation(m.generation) }, { "team", m.work.team.get() } });
            },
            [&](const EngineResume& m) {
                return say("attach", { { "gen", this->generation(m.generation) }, { "next", number(m.nextIndex) } });
            },
            [&](const EngineCancel& m) {
                return say("stop", { { "gen", this->generation(m.generation) } });
            },
            [&](const EngineOrder& m) {
                return say("order", { { "name", m.name }, { "fence", number(m.fence) } });
            },
        },
        command);
}

Line Describer::platformRequest(const PlatformRequest& request)
{
    return std::visit(Overload {
                          [&](const TableInsert& m) {
                              return say("insert", { { "key", m.key } });
                          },
                          [&](const TableReplace& m) {
                              return say("replace", { { "key", m.key }, { "expected", number(m.expectedVersion) } });
                          },
                          [&](const TableErase& m) {
                              return say("erase", { { "key", m.key } });
                          },
                          [&](const ObjectWrite& m) {
                              return say("write-object", { { "key", m.key } });
                          },
                          [&](const auto&) { return Line {}; },
                      },
        request);
}

Line Describer::platformResult(const PlatformResult& result)
{
    return std::visit(Overload {
                          [&](const WriteDone& m) {
                              return say("done", { { "version", number(m.version) } });
                          },
                          [&](const WriteConflict&) { return say("conflict"); },
                          [&](const PlatformUnavailable&) { return say("no-answer"); },
                          [&](const auto&) { return Line {}; },
                      },
        result);
}

}
