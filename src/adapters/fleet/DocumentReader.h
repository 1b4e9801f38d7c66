#pragma once

#include "ports/ControlPorts.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselfold::Internal {

/** What a reader found in a document besides the objects. */
struct ParseDiagnostics {
    std::vector<NoteProblem> problems;
    /** Line of each place that was read, from 1 on. */
    std::map<std::string, std::uint32_t> lines;
};

/** Reads one mapping of a YAML or JSON document and notes every fault with its place and line. */
class DocumentReader {
public:
    /** @param log collects the faults; must outlive the reader. */
    DocumentReader(const YAML::Node& node, std::string path, ParseDiagnostics& diagnostics);

    /** Reads a text; a missing one is a fault. */
    std::string text(const std::string& name);
    /** Reads a text that may be missing. */
    std::string text(const std::string& name, const std::string& fallback);
    /** Reads a whole number; a missing one is the fallback. */
    std::uint64_t number(const std::string& name, std::uint64_t fallback, std::uint64_t maximum);
    std::uint32_t number32(const std::string& name, std::uint32_t fallback);
    bool flag(const std::string& name, bool fallback);
    /** Reads a duration with a unit, such as `250ms` or `5s`. */
    Milliseconds duration(const std::string& name, Milliseconds fallback);
    /** Reads `ip:port` or `[ip]:port`. */
    Address address(const std::string& name);
    std::vector<std::string> texts(const std::string& name);
    /** Reads one of several words. @return the index of the word. */
    std::size_t choice(const std::string& name, std::size_t fallback, const std::vector<std::string>& choices);
    /** @return a reader for each mapping of a list; none when the list is missing. */
    std::vector<DocumentReader> items(const std::string& name);
    /** @return a reader for a mapping; nothing when it is missing. */
    std::optional<DocumentReader> child(const std::string& name);
    /** Notes every key that was not asked for. Call it last. */
    void reportUnexpectedKeys();

private:
    std::optional<YAML::Node> find(const std::string& name);
    std::optional<std::string> scalar(const std::string& name);
    std::string pathOf(const std::string& name) const;
    void addProblem(const std::string& path, const std::string& expected, const YAML::Node& at);

    YAML::Node node;
    std::string path;
    std::set<std::string> requestedKeys;
    ParseDiagnostics* diagnostics;
};

/** @return the address in a text such as `10.0.0.1:7101` or `[::1]:7101`; nothing when it is none. */
std::optional<Address> parseAddress(const std::string& text);

/** @return the text of an address that parseAddress reads. */
std::string formatAddress(const Address& address);

}
