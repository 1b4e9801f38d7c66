#pragma once

#include "adapters/settings/EntrySettings.h"

#include <optional>
#include <string>

namespace teaselfold::Internal {

// Overloads for each type of setting value. `parseValue` returns false and leaves the value unchanged if the text is
// not valid for the type; `expectedValue` describes the valid texts; `printValue` is the inverse of `parseValue`.

bool parseValue(const std::string& text, std::string& value);
bool parseValue(const std::string& text, Address& value);
bool parseValue(const std::string& text, Milliseconds& value);
bool parseValue(const std::string& text, std::uint32_t& value);
bool parseValue(const std::string& text, double& value);
bool parseValue(const std::string& text, bool& value);
bool parseValue(const std::string& text, AdminRole& value);

std::string expectedValue(const std::string& value);
std::string expectedValue(const Address& value);
std::string expectedValue(const Milliseconds& value);
std::string expectedValue(const std::uint32_t& value);
std::string expectedValue(const double& value);
std::string expectedValue(const bool& value);
std::string expectedValue(const AdminRole& value);
std::string expectedValue(const std::vector<AdminToken>& value);
std::string expectedValue(const std::vector<SeedAgent>& value);

std::string printValue(const std::string& value);
std::string printValue(const Address& value);
std::string printValue(const Milliseconds& value);
std::string printValue(const std::uint32_t& value);
std::string printValue(const double& value);
std::string printValue(const bool& value);
std::string printValue(const AdminRole& value);

/** @return whether the text is a name of 1 to 64 letters, digits, '.', '_' and '-'. */
bool isName(const std::string& text);

/** @return whether the text is a SHA-256 hash in lower-case hexadecimal. */
bool isSha256(const std::string& text);

template <typename Tag> bool parseValue(const std::string& text, Id<Tag, std::string>& value)
{
    if (!isName(text))
        return false;
    value = Id<Tag, std::string>(text);
    return true;
}

template <typename Tag> std::string expectedValue(const Id<Tag, std::string>&)
{
    return "a name of 1 to 64 letters, digits, '.', '_' and '-'";
}

template <typename Tag> std::string printValue(const Id<Tag, std::string>& value) { return value.get(); }

template <typename Value> bool parseValue(const std::string& text, std::optional<Value>& value)
{
    Value parsed;
    if (!parseValue(text, parsed))
        return false;
    value = parsed;
    return true;
}

template <typename Value> std::string expectedValue(const std::optional<Value>&) { return expectedValue(Value {}); }

template <typename Value> std::string printValue(const std::optional<Value>& value)
{
    return value ? printValue(*value) : std::string();
}

}
