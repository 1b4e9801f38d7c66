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

    std::string yesOrNo(bool value) { return value ? "yes" : "no"; }

    std::string subjectName(const OrderSubject& subject)
    {
        return std::visit([](const auto& id) { return id.get(); }, subject);
    }

    TranscriptLine makeLine(std::string event, std::vector<std::pair<std::string, std::string>> fields = {})
    {
        TranscriptLine line;
        line.event = std::move(event);
        line.fields = std::move(fields);
        return line;
    }

    TranscriptLine makeFailureLine(std::string event, const Failure& failure)
    {
        return makeLine(std::move(event),
            { { "code", std::string(errorCodeName(failure.code)) },
                { "run", std::string(executedName(failure.run)) } });
    }

    std::string concatenate(const std::vector<std::string>& texts)
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

std::string TranscriptLine::field(const std::string& name) const
{
    for (const auto& [key, value] : this->fields) {
        if (key == name)
            return value;
    }
    return {};
}

std::string TranscriptLine::text() const
{
    std::ostringstream out;
    out << std::setw(6) << this->at.count() << "ms  " << this->from;
    if (!this->to.empty())
        out << " -> " << this->to;
    out << "  " << this->event;
    for (const auto& [key, value] : this->fields)
        out << ' ' << key << '=' << value;
    return out.str();
}

std::string IdAliases::aliasOf(const std::string& prefix, std::uint64_t id)
{
    auto [found, added] = this->aliases.try_emplace({ prefix, id });
    if (added)
        found->second = prefix + std::to_string(++this->counts[prefix]);
    return found->second;
}

std::string Transcript::text(Milliseconds from) const
{
    std::string all;
    for (const auto& line : this->recordedLines) {
        if (line.at >= from)
            all += line.text() + "\n";
    }
    return all;
}

TranscriptLine TranscriptFormatter::entryMessage(const EntryMessage& message)
{
    return std::visit(
        Overload {
            [&](const SubmitGeneration& m) {
                return makeLine(
                    "submit", { { "gen", this->generationAlias(m.generation) }, { "team", m.work.team.get() } });
            },
            [&](const CancelGeneration& m) {
                return makeLine("cancel", { { "gen", this->generationAlias(m.generation) } });
            },
            [&](const ResumeGeneration& m) {
                return makeLine(
                    "resume", { { "gen", this->generationAlias(m.generation) }, { "next", number(m.nextIndex) } });
            },
            [&](const AcknowledgeTokens& m) {
                return makeLine(
                    "acknowledge", { { "gen", this->generationAlias(m.generation) }, { "next", number(m.nextIndex) } });
            },
            [&](const SubmitCall& m) {
                return makeLine("call", { { "gen", this->generationAlias(m.call) }, { "key", m.work.key.get() } });
            },
            [&](const FleetCopy& m) {
                return makeLine("fleet", { { "version", number(m.fleet.version.get()) } });
            },
            [&](const NoteDelivery& m) {
                return makeLine("note", { { "version", number(m.version.get()) } });
            },
            [&](const OrdersDelivery& m) {
                return makeLine("orders", { { "orders", ordersText(m.orders) } });
            },
            [&](const QuarantineDelivery& m) {
                return makeLine("quarantine", { { "suspects", number(m.suspects.size()) } });
            },
            [&](const FleetRequest&) { return makeLine("fleet-request"); },
            [&](const auto&) { return TranscriptLine {}; },
        },
        message);
}

TranscriptLine TranscriptFormatter::agentMessage(const AgentMessage& message)
{
    return std::visit(
        Overload {
            [&](const GenerationAccepted& m) {
                return makeLine("accepted", { { "gen", this->generationAlias(m.generation) } });
            },
            [&](const GenerationRefused& m) {
                return makeLine("refused",
                    { { "gen", this->generationAlias(m.generation) }, { "code", std::string(errorCodeName(m.code)) },
                        { "run", "no" } });
            },
            [&](const GenerationStarted& m) {
                return makeLine("started", { { "gen", this->generationAlias(m.generation) } });
            },
            [&](const GenerationTokens& m) {
                return makeLine("tokens",
                    { { "gen", this->generationAlias(m.generation) }, { "first", number(m.firstIndex) },
                        { "count", number(m.texts.size()) } });
            },
            [&](const GenerationFinished& m) {
                return makeLine(
                    "finished", { { "gen", this->generationAlias(m.generation) }, { "count", number(m.tokenCount) } });
            },
            [&](const GenerationFailed& m) {
                TranscriptLine line = makeFailureLine("failed", m.failure);
                line.fields.insert(line.fields.begin(), { "gen", this->generationAlias(m.generation) });
                return line;
            },
            [&](const GenerationUnknown& m) {
                return makeLine("unknown", { { "gen", this->generationAlias(m.generation) } });
            },
            [&](const CallAnswered& m) {
                return makeLine("answered",
                    { { "gen", this->generationAlias(m.call) }, { "status", number(m.status) },
                        { "replayed", yesOrNo(m.replayed) } });
            },
            [&](const CallFailed& m) {
                TranscriptLine line = makeFailureLine("call-failed", m.failure);
                line.fields.insert(line.fields.begin(), { "gen", this->generationAlias(m.call) });
                return line;
            },
            [&](const FleetCopy& m) {
                return makeLine("fleet", { { "version", number(m.fleet.version.get()) } });
            },
            [&](const NoteDelivery& m) {
                return makeLine("note", { { "version", number(m.version.get()) } });
            },
            [&](const OrdersDelivery& m) {
                return makeLine("orders", { { "orders", ordersText(m.orders) } });
            },
            [&](const QuarantineDelivery& m) {
                return makeLine("quarantine", { { "suspects", number(m.suspects.size()) } });
            },
            [&](const auto&) { return TranscriptLine {}; },
        },
        message);
}

TranscriptLine TranscriptFormatter::callerMessage(const CallerMessage& message)
{
    return std::visit(
        Overload {
            [&](const CallerTokens& m) {
                return makeLine("tokens",
                    { { "gen", this->generationAlias(m.token.generation) }, { "first", number(m.firstIndex) },
                        { "count", number(m.texts.size()) }, { "text", concatenate(m.texts) } });
            },
            [&](const CallerRestart& m) {
                return makeLine("restart", { { "gen", this->generationAlias(m.token.generation) } });
            },
            [&](const CallerFinished& m) {
                return makeLine("finished", { { "count", number(m.tokenCount) } });
            },
            [&](const CallerCompletion& m) {
                return makeLine("completion",
                    { { "gen", this->generationAlias(m.generation) }, { "count", number(m.tokenCount) },
                        { "text", m.text } });
            },
            [&](const CallerServiceResponse& m) {
                return makeLine("answer",
                    { { "status", number(m.status) }, { "body", m.body }, { "replayed", yesOrNo(m.replayed) } });
            },
            [&](const CallerFailure& m) { return makeFailureLine("failure", m.failure); },
        },
        message);
}

TranscriptLine TranscriptFormatter::adminMessage(const AdminMessage& message)
{
    return std::visit(Overload {
                          [&](const NoteAccepted& m) {
                              return makeLine("note-accepted", { { "version", number(m.version.get()) } });
                          },
                          [&](const NoteStale& m) {
                              return makeLine("note-stale", { { "current", number(m.current.get()) } });
                          },
                          [&](const NoteInvalid& m) {
                              return makeLine("note-invalid", { { "problems", number(m.problems.size()) } });
                          },
                          [&](const OrderAccepted& m) {
                              return makeLine("order-taken",
                                  { { "subject", subjectName(m.order.subject) }, { "out", yesOrNo(m.order.out) },
                                      { "recorded", yesOrNo(m.order.recorded) } });
                          },
                          [&](const OrderSuperseded& m) {
                              return makeLine("order-superseded",
                                  { { "subject", subjectName(m.winner.subject) }, { "out", yesOrNo(m.winner.out) } });
                          },
                          [&](const Failure& m) { return makeFailureLine("failure", m); },
                          [&](const auto&) { return makeLine("view"); },
                      },
        message);
}

TranscriptLine TranscriptFormatter::engineCommand(const EngineCommand& command)
{
    return std::visit(Overload {
                          [&](const EngineStart& m) {
                              return makeLine("start",
                                  { { "gen", this->generationAlias(m.generation) }, { "team", m.work.team.get() } });
                          },
                          [&](const EngineResume& m) {
                              return makeLine("attach",
                                  { { "gen", this->generationAlias(m.generation) }, { "next", number(m.nextIndex) } });
                          },
                          [&](const EngineCancel& m) {
                              return makeLine("stop", { { "gen", this->generationAlias(m.generation) } });
                          },
                          [&](const EngineOrder& m) {
                              return makeLine("order", { { "name", m.name }, { "fence", number(m.fence) } });
                          },
                      },
        command);
}

TranscriptLine TranscriptFormatter::platformRequest(const PlatformRequest& request)
{
    return std::visit(
        Overload {
            [&](const TableInsert& m) {
                return makeLine("insert", { { "key", m.key } });
            },
            [&](const TableReplace& m) {
                return makeLine("replace", { { "key", m.key }, { "expected", number(m.expectedVersion) } });
            },
            [&](const TableErase& m) {
                return makeLine("erase", { { "key", m.key } });
            },
            [&](const ObjectWrite& m) {
                return makeLine("write-object", { { "key", m.key } });
            },
            [&](const auto&) { return TranscriptLine {}; },
        },
        request);
}

TranscriptLine TranscriptFormatter::platformResult(const PlatformResult& result)
{
    return std::visit(Overload {
                          [&](const WriteDone& m) {
                              return makeLine("done", { { "version", number(m.version) } });
                          },
                          [&](const WriteConflict&) { return makeLine("conflict"); },
                          [&](const PlatformUnavailable&) { return makeLine("no-answer"); },
                          [&](const auto&) { return TranscriptLine {}; },
                      },
        result);
}

}
