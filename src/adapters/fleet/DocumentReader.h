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

/** Problems and line numbers collected while a document is read. */
struct ParseDiagnostics {
    std::vector<NoteProblem> problems;
    /** Line of each key path that was read, counted from 1. */
    std::map<std::string, std::uint32_t> lines;
};

/** Reads one mapping of a YAML or JSON document and collects every problem with its key path and line. */
class DocumentReader {
public:
    /**
     * @param path the key path of the mapping; empty for the root of the document.
     * @param diagnostics collects the problems; must outlive the reader.
     */
    DocumentReader(const YAML::Node& node, std::string path, ParseDiagnostics& diagnostics);

    /** Reads a required text; a missing key is a problem. */
    std::string text(const std::string& name);
    /** Reads an optional text. */
    std::string text(const std::string& name, const std::string& fallback);
    /** Reads an optional whole number from 0 to `maximum`. */
    std::uint64_t number(const std::string& name, std::uint64_t fallback, std::uint64_t maximum);
    std::uint32_t number32(const std::string& name, std::uint32_t fallback);
    bool flag(const std::string& name, bool fallback);
    /** Reads an optional duration with a unit, such as `250ms` or `5s`. */
    Milliseconds duration(const std::string& name, Milliseconds fallback);
    /** Reads a required address of the form `ip:port` or `[ip]:port`; any text is accepted as the IP number. */
    Address address(const std::string& name);
    std::vector<std::string> texts(const std::string& name);
    /** Reads one of several fixed values. @return the index of the value, or the fallback. */
    std::size_t choice(const std::string& name, std::size_t fallback, const std::vector<std::string>& choices);
    /** @return a reader for each mapping of a list; empty if the list is missing. */
    std::vector<DocumentReader> items(const std::string& name);
    /** @return a reader for a nested mapping; nothing if it is missing. */
    std::optional<DocumentReader> child(const std::string& name);
    /** Adds a problem for each unknown or repeated key. Must be called after all keys have been read. */
    void reportUnexpectedKeys();

private:
    std::optional<YAML::Node> find(const std::string& name);
    std::optional<std::string> scalar(const std::string& name);
    std::string pathOf(const std::string& name) const;
    void addProblem(const std::string& itemPath, const std::string& expected, const YAML::Node& atNode);

    YAML::Node node;
    std::string path;
    std::set<std::string> requestedKeys;
    ParseDiagnostics* diagnostics;
};

/** @return the address in a text such as `10.0.0.1:7101` or `[::1]:7101`; nothing without a valid port. */
std::optional<Address> parseAddress(const std::string& text);

/** @return the address in the form that parseAddress reads. */
std::string formatAddress(const Address& address);

}
