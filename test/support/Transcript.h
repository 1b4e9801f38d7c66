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
struct Line {
    Milliseconds at { 0 };
    std::string from;
    std::string to;
    std::string what;
    std::vector<std::pair<std::string, std::string>> fields;
    /** The caller for whom an entry submits work, where it is clear; for the checker, not part of the text. */
    std::string asker {};

    /** @return the value of a field, empty when there is none. */
    std::string field(const std::string& name) const;
    std::string text() const;
};

/** Gives ids drawn at random a short name in the order in which they appear. */
class ShortNames {
public:
    std::string of(const std::string& prefix, std::uint64_t id);

private:
    std::map<std::pair<std::string, std::uint64_t>, std::string> names;
    std::map<std::string, unsigned> counts;
};

/** What happened in a session, in order. */
class Transcript {
public:
    void add(Line line) { this->entries.push_back(std::move(line)); }
    const std::vector<Line>& lines() const { return this->entries; }
    /** @return the lines from a time on. */
    std::string text(Milliseconds from = Milliseconds(0)) const;

private:
    std::vector<Line> entries;
};

/** Describes messages as the words and fields of a line. An empty `what` means the message is left out. */
class Describer {
public:
    Line entryMessage(const EntryMessage& message);
    Line agentMessage(const AgentMessage& message);
    Line callerMessage(const CallerMessage& message);
    Line adminMessage(const AdminMessage& message);
    Line engineCommand(const EngineCommand& command);
    Line platformRequest(const PlatformRequest& request);
    Line platformResult(const PlatformResult& result);
    std::string generation(GenerationId id) { return this->names.of("g", id.get()); }

private:
    ShortNames names;
};

}
