#include "adapters/settings/SettingValue.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselfold::Internal {

namespace {

    constexpr std::size_t maxNameLength = 64;
    constexpr std::size_t sha256Digits = 64;
    constexpr std::uint64_t maxPort = 65535;
    constexpr Milliseconds maxDuration = std::chrono::hours(24 * 366);

    struct DurationUnit {
        std::string_view suffix;
        Milliseconds length;
    };

    /** Longest unit first: printing uses the first unit that divides the duration. */
    constexpr std::array durationUnits { DurationUnit { "h", std::chrono::hours(1) },
        DurationUnit { "m", std::chrono::minutes(1) }, DurationUnit { "s", Seconds(1) },
        DurationUnit { "ms", Milliseconds(1) } };

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (text.empty() || error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    bool isIpAddress(const std::string& host, int family)
    {
        std::array<unsigned char, sizeof(in6_addr)> binary {};
        return inet_pton(family, host.c_str(), binary.data()) == 1;
    }

}

bool isName(const std::string& text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= maxNameLength && text.find_first_not_of(allowed) == std::string::npos;
}

bool isSha256(const std::string& text)
{
    return text.size() == sha256Digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool parseValue(const std::string& text, std::string& value)
{
    if (!isName(text))
        return false;
    value = text;
    return true;
}

bool parseValue(const std::string& text, Address& value)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::string host = text.substr(0, colon);
    const auto port = parseNumber(std::string_view(text).substr(colon + 1));
    if (!port || *port == 0 || *port > maxPort)
        return false;
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    if (!isIpAddress(host, bracketed ? AF_INET6 : AF_INET))
        return false;
    value = { host, static_cast<std::uint16_t>(*port) };
    return true;
}

bool parseValue(const std::string& text, Milliseconds& value)
{
    const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto count = parseNumber(std::string_view(text).substr(0, digits));
    const std::string_view suffix = std::string_view(text).substr(digits);
    const auto* unit = std::find_if(durationUnits.begin(), durationUnits.end(),
        [&](const DurationUnit& candidate) { return candidate.suffix == suffix; });
    if (!count || unit == durationUnits.end())
        return false;
    if (*count == 0 || *count > static_cast<std::uint64_t>(maxDuration / unit->length))
        return false;
    value = unit->length * static_cast<std::int64_t>(*count);
    return true;
}

bool parseValue(const std::string& text, std::uint32_t& value)
{
    const auto number = parseNumber(text);
    if (!number || *number == 0 || *number > INT32_MAX)
        return false;
    value = static_cast<std::uint32_t>(*number);
    return true;
}

bool parseValue(const std::string& text, double& value)
{
    double parsed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), parsed);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || !(parsed >= 0))
        return false;
    value = parsed;
    return true;
}

bool parseValue(const std::string& text, bool& value)
{
    if (text != "true" && text != "false")
        return false;
    value = text == "true";
    return true;
}

bool parseValue(const std::string& text, AdminRole& value)
{
    if (text != "viewer" && text != "operator")
        return false;
    value = text == "viewer" ? AdminRole::Viewer : AdminRole::Operator;
    return true;
}

std::string expectedValue(const std::string&) { return expectedValue(ZoneId()); }

std::string expectedValue(const Address&) { return "an IP number and port such as 127.0.0.1:7001 or [::1]:7001"; }

std::string expectedValue(const Milliseconds&) { return "a duration above zero with a unit: 250ms, 5s, 2m or 1h"; }

std::string expectedValue(const std::uint32_t&) { return "a whole number from 1 to 2147483647"; }

std::string expectedValue(const double&) { return "a number from 0"; }

std::string expectedValue(const bool&) { return "true or false"; }

std::string expectedValue(const AdminRole&) { return "operator or viewer"; }

std::string expectedValue(const std::vector<AdminToken>&) { return "a list of {sha256, role, author}"; }

std::string expectedValue(const std::vector<SeedAgent>&) { return "a list of {endpoint, agent}"; }

std::string printValue(const std::string& value) { return value; }

std::string printValue(const Address& value)
{
    const bool isIpv6 = value.host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + value.host + "]" : value.host) + ":" + std::to_string(value.port);
}

std::string printValue(const Milliseconds& value)
{
    const auto* unit = std::find_if(durationUnits.begin(), durationUnits.end(),
        [&](const DurationUnit& candidate) { return value % candidate.length == Milliseconds(0); });
    return std::to_string(value / unit->length) + std::string(unit->suffix);
}

std::string printValue(const std::uint32_t& value) { return std::to_string(value); }

std::string printValue(const double& value)
{
    std::array<char, 32> text {};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
    return { text.data(), end };
}

std::string printValue(const bool& value) { return value ? "true" : "false"; }

std::string printValue(const AdminRole& value) { return value == AdminRole::Viewer ? "viewer" : "operator"; }

}
