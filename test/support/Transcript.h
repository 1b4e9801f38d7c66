#pragma once

#include "ports/AgentPorts.h"
#include "ports/CallerMessages.h"
#include "ports/ControlPorts.h"
#include "ports/EntryPorts.h"
#include "ports/Time.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teaselfold::testing {

/** One thing that happened in a session: who told whom what, with its fields in order. */
struct TranscriptLine {
    Milliseconds at { 0 };
    std::string from;
    std::string to;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
    /** The caller for whom an entry submits work, where it is clear; for the checker, not part of the text. */
    std::string originatingCaller {};

    /** @return the value of a field, empty when there is none. */
    std::string field(const std::string& name) const;
    std::string text() const;
};

/** Gives ids drawn at random a short name in the order in which they appear. */
class IdAliases {
public:
    std::string aliasOf(const std::string& prefix, std::uint64_t id);

private:
    std::map<std::pair<std::string, std::uint64_t>, std::string> aliases;
    std::map<std::string, unsigned> counts;
};

/** What happened in a session, in order. */
class Transcript {
public:
    void add(TranscriptLine line) { this->recordedLines.push_back(std::move(line)); }
    const std::vector<TranscriptLine>& lines() const { return this->recordedLines; }
    /** @return the lines from a time on. */
    std::string text(Milliseconds from = Milliseconds(0)) const;

private:
    std::vector<TranscriptLine> recordedLines;
};

/** Describes messages as the words and fields of a line. An empty `what` means the message is left out. */
class TranscriptFormatter {
public:
    TranscriptLine entryMessage(const EntryMessage& message);
    TranscriptLine agentMessage(const AgentMessage& message);
    TranscriptLine callerMessage(const CallerMessage& message);
    TranscriptLine adminMessage(const AdminMessage& message);
    TranscriptLine engineCommand(const EngineCommand& command);
    TranscriptLine platformRequest(const PlatformRequest& request);
    TranscriptLine platformResult(const PlatformResult& result);
    std::string generationAlias(GenerationId id) { return this->aliases.aliasOf("g", id.get()); }

private:
    IdAliases aliases;
};

}
