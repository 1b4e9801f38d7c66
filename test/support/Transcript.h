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

/** One event of a session: its sender, its receiver, its name and its fields in order. */
struct TranscriptLine {
    Milliseconds at { 0 };
    std::string from;
    std::string to;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
    /** The caller for which an entry submits work, if unambiguous. For the invariant checks; not part of the text. */
    std::string originatingCaller {};

    /** @return the value of a field; empty if the line has no such field. */
    std::string field(const std::string& name) const;
    std::string text() const;
};

/** Replaces random ids by short names, numbered in the order in which the ids first appear. */
class IdAliases {
public:
    std::string aliasOf(const std::string& prefix, std::uint64_t id);

private:
    std::map<std::pair<std::string, std::uint64_t>, std::string> aliases;
    std::map<std::string, unsigned> counts;
};

/** The events of a session in order of time. */
class Transcript {
public:
    void add(TranscriptLine line) { this->recordedLines.push_back(std::move(line)); }
    const std::vector<TranscriptLine>& lines() const { return this->recordedLines; }
    /** @return the text of the lines at or after `from`. */
    std::string text(Milliseconds from = Milliseconds(0)) const;

private:
    std::vector<TranscriptLine> recordedLines;
};

/** Converts messages to transcript lines. A line with an empty `event` is left out of the transcript. */
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
