#include "adapters/fleet/DocumentReader.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselfold::Internal {

namespace {

    std::uint32_t lineNumber(const YAML::Node& node)
    {
        const int line = node.Mark().line;
        return line < 0 ? 0 : static_cast<std::uint32_t>(line) + 1;
    }

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t value = 0;
        const char* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        if (text.empty() || error != std::errc {} || stop != end)
            return std::nullopt;
        return value;
    }

    struct Unit {
        std::string_view suffix;
        std::uint64_t milliseconds;
    };

    constexpr std::array units { Unit { "ms", 1 }, Unit { "s", 1000 }, Unit { "m", 60000 } };
    constexpr std::uint64_t maxDurationMilliseconds = 24ULL * 60 * 60 * 1000;

    std::optional<Milliseconds> parseDuration(std::string_view text)
    {
        for (const Unit& unit : units) {
            if (!text.ends_with(unit.suffix))
                continue;
            const auto count = parseNumber(text.substr(0, text.size() - unit.suffix.size()));
            if (count && *count <= maxDurationMilliseconds / unit.milliseconds)
                return Milliseconds(*count * unit.milliseconds);
        }
        return std::nullopt;
    }

}

DocumentReader::DocumentReader(const YAML::Node& node, std::string path, ParseDiagnostics& diagnostics)
    : node(node)
    , path(std::move(path))
    , diagnostics(&diagnostics)
{
    if (!this->path.empty())
        diagnostics.lines[this->path] = lineNumber(this->node);
    if (!this->node.IsMap())
        this->addProblem(this->path, "a mapping", this->node);
}

std::string DocumentReader::pathOf(const std::string& name) const
{
    return this->path.empty() ? name : this->path + "." + name;
}

void DocumentReader::addProblem(const std::string& itemPath, const std::string& expected, const YAML::Node& atNode)
{
    this->diagnostics->problems.push_back({ itemPath, expected, lineNumber(atNode) });
}

std::optional<YAML::Node> DocumentReader::find(const std::string& name)
{
    this->requestedKeys.insert(name);
    if (!this->node.IsMap())
        return std::nullopt;
    const YAML::Node value = static_cast<const YAML::Node&>(this->node)[name];
    if (!value.IsDefined() || value.IsNull())
        return std::nullopt;
    this->diagnostics->lines[this->pathOf(name)] = lineNumber(value);
    return value;
}

std::optional<std::string> DocumentReader::scalar(const std::string& name)
{
    const std::optional<YAML::Node> value = this->find(name);
    if (!value)
        return std::nullopt;
    if (value->IsScalar())
        return value->Scalar();
    this->addProblem(this->pathOf(name), "a single value", *value);
    return std::nullopt;
}

std::string DocumentReader::text(const std::string& name)
{
    const std::size_t before = this->diagnostics->problems.size();
    std::optional<std::string> value = this->scalar(name);
    if (!value && this->node.IsMap() && this->diagnostics->problems.size() == before)
        this->addProblem(this->pathOf(name), "a text", this->node);
    return value.value_or("");
}

std::string DocumentReader::text(const std::string& name, const std::string& fallback)
{
    return this->scalar(name).value_or(fallback);
}

std::uint64_t DocumentReader::number(const std::string& name, std::uint64_t fallback, std::uint64_t maximum)
{
    const std::optional<std::string> value = this->scalar(name);
    if (!value)
        return fallback;
    const std::optional<std::uint64_t> parsed = parseNumber(*value);
    if (parsed && *parsed <= maximum)
        return *parsed;
    this->addProblem(this->pathOf(name), "a whole number from 0 to " + std::to_string(maximum), *this->find(name));
    return fallback;
}

std::uint32_t DocumentReader::number32(const std::string& name, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(this->number(name, fallback, std::numeric_limits<std::uint32_t>::max()));
}

bool DocumentReader::flag(const std::string& name, bool fallback)
{
    return this->choice(name, fallback ? 1 : 0, { "false", "true" }) == 1;
}

Milliseconds DocumentReader::duration(const std::string& name, Milliseconds fallback)
{
    const std::optional<std::string> value = this->scalar(name);
    if (!value)
        return fallback;
    const std::optional<Milliseconds> parsed = parseDuration(*value);
    if (!parsed)
        this->addProblem(this->pathOf(name), "a duration with a unit, such as 250ms or 5s", *this->find(name));
    return parsed.value_or(fallback);
}

Address DocumentReader::address(const std::string& name)
{
    const std::size_t before = this->diagnostics->problems.size();
    const std::string value = this->text(name);
    const std::optional<Address> parsed = parseAddress(value);
    if (!parsed && this->diagnostics->problems.size() == before && this->node.IsMap())
        this->addProblem(this->pathOf(name), "an IP number and a port, such as 10.0.0.1:7101", *this->find(name));
    return parsed.value_or(Address {});
}

std::vector<std::string> DocumentReader::texts(const std::string& name)
{
    std::vector<std::string> result;
    const std::optional<YAML::Node> list = this->find(name);
    if (!list)
        return result;
    if (!list->IsSequence())
        this->addProblem(this->pathOf(name), "a list", *list);
    for (std::size_t i = 0; list->IsSequence() && i < list->size(); ++i) {
        const YAML::Node item = (*list)[i];
        const std::string itemPath = this->pathOf(name) + "[" + std::to_string(i) + "]";
        this->diagnostics->lines[itemPath] = lineNumber(item);
        if (item.IsScalar())
            result.push_back(item.Scalar());
        else
            this->addProblem(itemPath, "a text", item);
    }
    return result;
}

std::size_t DocumentReader::choice(
    const std::string& name, std::size_t fallback, const std::vector<std::string>& choices)
{
    const std::optional<std::string> value = this->scalar(name);
    if (!value)
        return fallback;
    const auto found = std::find(choices.begin(), choices.end(), *value);
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    std::string expected = "one of";
    for (const std::string& choice : choices)
        expected += " " + choice;
    this->addProblem(this->pathOf(name), expected, *this->find(name));
    return fallback;
}

std::vector<DocumentReader> DocumentReader::items(const std::string& name)
{
    std::vector<DocumentReader> result;
    const std::optional<YAML::Node> list = this->find(name);
    if (!list)
        return result;
    if (!list->IsSequence())
        this->addProblem(this->pathOf(name), "a list", *list);
    for (std::size_t i = 0; list->IsSequence() && i < list->size(); ++i)
        result.emplace_back((*list)[i], this->pathOf(name) + "[" + std::to_string(i) + "]", *this->diagnostics);
    return result;
}

std::optional<DocumentReader> DocumentReader::child(const std::string& name)
{
    const std::optional<YAML::Node> value = this->find(name);
    if (!value)
        return std::nullopt;
    return DocumentReader(*value, this->pathOf(name), *this->diagnostics);
}

void DocumentReader::reportUnexpectedKeys()
{
    if (!this->node.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto& pair : this->node) {
        const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
        if (!this->requestedKeys.contains(key))
            this->addProblem(this->pathOf(key), "no such key", pair.first);
        else if (!seen.insert(key).second)
            this->addProblem(this->pathOf(key), "each key once", pair.first);
    }
}

std::optional<Address> parseAddress(const std::string& text)
{
    constexpr std::uint64_t maxPort = 65535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    const std::optional<std::uint64_t> port = parseNumber(std::string_view(text).substr(colon + 1));
    if (!port || *port == 0 || *port > maxPort)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    return Address { host, static_cast<std::uint16_t>(*port) };
}

std::string formatAddress(const Address& address)
{
    const bool isIpv6 = address.host.find(':') != std::string::npos;
    const std::string host = isIpv6 ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

}
