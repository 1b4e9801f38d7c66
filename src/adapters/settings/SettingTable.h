#pragma once

#include "adapters/settings/SettingValue.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <set>
#include <variant>

namespace teaselfold::Internal {

enum class Requirement : std::uint8_t {
    Required,
    Optional,
};

/** One key of a settings file. The default is the member's value in a default-constructed settings object. */
template <typename Settings> struct Setting {
    using Member = std::variant<EntryId Settings::*, EndpointId Settings::*, ZoneId Settings::*,
        std::string Settings::*, Address Settings::*, std::optional<Address> Settings::*, Milliseconds Settings::*,
        std::uint32_t Settings::*, double Settings::*, bool Settings::*, std::vector<AdminToken> Settings::*,
        std::vector<SeedAgent> Settings::*>;

    std::string_view key;
    Member member;
    Requirement requirement;
    std::string_view documentation;
};

/** The settings read from a file and overrides, with all problems found. */
template <typename Settings> struct LoadResult {
    Settings settings;
    std::set<std::string> presentKeys;
    std::vector<SettingProblem> problems;
};

/** @return the line of a node, counted from 1; zero if the node has none. */
std::uint32_t lineNumber(const YAML::Node& node);

/** Reads a list of mappings and appends every problem found. */
void readList(const std::string& path, const YAML::Node& node, std::vector<AdminToken>& tokens,
    std::vector<SettingProblem>& problems);
void readList(const std::string& path, const YAML::Node& node, std::vector<SeedAgent>& agents,
    std::vector<SettingProblem>& problems);

void writeList(YAML::Emitter& out, const std::vector<AdminToken>& tokens);
void writeList(YAML::Emitter& out, const std::vector<SeedAgent>& agents);

/** Parses YAML. @return the document, or a problem if the text is not a YAML mapping. */
std::variant<YAML::Node, SettingProblem> parseDocument(const std::string& text);

template <typename Value>
void readNode(const std::string& path, const YAML::Node& node, Value& value, std::vector<SettingProblem>& problems)
{
    if (!node.IsScalar() || !parseValue(node.Scalar(), value))
        problems.push_back({ path, lineNumber(node), expectedValue(value) });
}

template <typename Item>
void readNode(
    const std::string& path, const YAML::Node& node, std::vector<Item>& value, std::vector<SettingProblem>& problems)
{
    readList(path, node, value, problems);
}

template <typename Value>
void readOverride(const SettingOverride& settingOverride, Value& value, std::vector<SettingProblem>& problems)
{
    if (!parseValue(settingOverride.value, value))
        problems.push_back({ settingOverride.key, 0, expectedValue(value) });
}

template <typename Item>
void readOverride(const SettingOverride& settingOverride, std::vector<Item>&, std::vector<SettingProblem>& problems)
{
    problems.push_back({ settingOverride.key, 0, "this key in the settings file only" });
}

template <typename Value> void writeValue(YAML::Emitter& out, const Value& value) { out << printValue(value); }

template <typename Item> void writeValue(YAML::Emitter& out, const std::vector<Item>& value) { writeList(out, value); }

template <typename Value> bool isPresent(const Value&) { return true; }
template <typename Value> bool isPresent(const std::optional<Value>& value) { return value.has_value(); }
inline bool isPresent(const std::string& value) { return !value.empty(); }
template <typename Item> bool isPresent(const std::vector<Item>& value) { return !value.empty(); }

/** Loads, prints and documents a settings struct, driven by a table of its keys. */
template <typename Settings, std::size_t Count> class SettingTable {
public:
    explicit SettingTable(const std::array<Setting<Settings>, Count>& rows)
        : rows(rows)
    {
    }

    /** Reads the text, then applies the overrides. */
    LoadResult<Settings> load(const std::string& text, const std::vector<SettingOverride>& overrides) const
    {
        LoadResult<Settings> result;
        const auto document = parseDocument(text);
        if (const auto* problem = std::get_if<SettingProblem>(&document)) {
            result.problems.push_back(*problem);
            return result;
        }
        for (const auto& pair : *std::get_if<YAML::Node>(&document))
            this->loadKey(result, pair.first, pair.second);
        for (const SettingOverride& settingOverride : overrides)
            this->loadOverride(result, settingOverride);
        for (const auto& row : this->rows) {
            if (row.requirement == Requirement::Required && !result.presentKeys.contains(std::string(row.key)))
                result.problems.push_back({ std::string(row.key), 0, "this key, which is required" });
        }
        return result;
    }

    /** @return the settings as YAML. */
    std::string print(const Settings& settings) const
    {
        YAML::Emitter out;
        out << YAML::BeginMap;
        for (const auto& row : this->rows)
            std::visit([&](auto member) { writeRow(out, row.key, settings.*member); }, row.member);
        out << YAML::EndMap;
        return std::string(out.c_str()) + "\n";
    }

    /** @return the documentation of all keys, one line each. */
    std::string describe() const
    {
        const Settings defaults;
        std::string text;
        for (const auto& row : this->rows)
            text += std::visit([&](auto member) { return describeRow(row, defaults.*member); }, row.member);
        return text;
    }

private:
    const Setting<Settings>* findRow(const std::string& key) const
    {
        const auto found
            = std::find_if(this->rows.begin(), this->rows.end(), [&](const auto& row) { return row.key == key; });
        return found == this->rows.end() ? nullptr : &*found;
    }

    void loadKey(LoadResult<Settings>& result, const YAML::Node& keyNode, const YAML::Node& node) const
    {
        const std::string key = keyNode.IsScalar() ? keyNode.Scalar() : std::string();
        const auto* row = this->findRow(key);
        if (!row) {
            result.problems.push_back({ key, lineNumber(keyNode), "a known key" });
            return;
        }
        if (!result.presentKeys.insert(key).second)
            result.problems.push_back({ key, lineNumber(keyNode), "each key once" });
        std::visit([&](auto member) { readNode(key, node, result.settings.*member, result.problems); }, row->member);
    }

    void loadOverride(LoadResult<Settings>& result, const SettingOverride& settingOverride) const
    {
        const auto* row = this->findRow(settingOverride.key);
        if (!row) {
            result.problems.push_back({ settingOverride.key, 0, "a known key" });
            return;
        }
        result.presentKeys.insert(settingOverride.key);
        std::visit(
            [&](auto member) { readOverride(settingOverride, result.settings.*member, result.problems); }, row->member);
    }

    template <typename Value> static void writeRow(YAML::Emitter& out, std::string_view key, const Value& value)
    {
        if (!isPresent(value))
            return;
        out << YAML::Key << std::string(key) << YAML::Value;
        writeValue(out, value);
    }

    template <typename Value> static std::string describeRow(const Setting<Settings>& row, const Value& value)
    {
        std::string text
            = "  " + std::string(row.key) + ": " + std::string(row.documentation) + " (" + expectedValue(value);
        if (row.requirement == Requirement::Required)
            text += "; required";
        else
            text += defaultOf(value);
        return text + ")\n";
    }

    template <typename Value> static std::string defaultOf(const Value& value)
    {
        return isPresent(value) ? "; default " + printValue(value) : std::string();
    }

    template <typename Item> static std::string defaultOf(const std::vector<Item>&) { return {}; }

    const std::array<Setting<Settings>, Count>& rows;
};

}
