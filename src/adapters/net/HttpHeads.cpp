#include "adapters/net/HttpHeads.h"

#include "ports/HeaderText.h"
#include "ports/HttpStatus.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace teaselfold {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::size_t maxFields = 128;
    constexpr std::array<std::string_view, 9> hopByHopFields { "connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade" };

    bool isTokenCharacter(char character)
    {
        constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
        return std::isalnum(static_cast<unsigned char>(character)) != 0
            || marks.find(character) != std::string_view::npos;
    }

    bool isToken(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
    }

    std::string_view trimmed(std::string_view text)
    {
        const std::size_t first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    std::string_view nextLine(std::string_view& text)
    {
        const std::size_t end = text.find(lineEnd);
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + lineEnd.size());
        return line;
    }

    /** Requires a name directly before the colon and a value without control characters; rejects folded lines. */
    std::optional<HeaderField> parseField(std::string_view line)
    {
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
            return std::nullopt;
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (!isHeaderValue(value))
            return std::nullopt;
        return HeaderField { std::string(line.substr(0, colon)), std::string(value) };
    }

    std::variant<std::vector<HeaderField>, HeadFault> parseFields(std::string_view lines)
    {
        std::vector<HeaderField> fields;
        while (!lines.empty()) {
            auto field = parseField(nextLine(lines));
            if (!field)
                return HeadFault { 400, "malformed field" };
            if (fields.size() == maxFields)
                return HeadFault { 431, "too many fields" };
            fields.push_back(std::move(*field));
        }
        return fields;
    }

    /** @return a request head without fields; nothing when the start line is malformed. */
    std::optional<RequestHead> parseRequestLine(std::string_view line)
    {
        const std::size_t first = line.find(' ');
        const std::size_t last = line.rfind(' ');
        if (first == std::string_view::npos || first == last)
            return std::nullopt;
        const std::string_view method = line.substr(0, first);
        const std::string_view target = line.substr(first + 1, last - first - 1);
        const std::string_view version = line.substr(last + 1);
        const bool isPlainTarget
            = target.starts_with('/') && target.find(' ') == std::string_view::npos && isHeaderValue(target);
        if (!isToken(method) || !isPlainTarget || (version != "HTTP/1.1" && version != "HTTP/1.0"))
            return std::nullopt;
        return RequestHead { std::string(method), std::string(target), version == "HTTP/1.0", {} };
    }

    /** @return a response head without fields; nothing when the start line is malformed. */
    std::optional<ResponseHead> parseStatusLine(std::string_view line)
    {
        constexpr std::size_t versionSize = std::string_view("HTTP/1.1 ").size();
        constexpr std::size_t statusSize = 3;
        const bool isKnownVersion = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
        if (!isKnownVersion || line.size() < versionSize + statusSize || !isHeaderValue(line))
            return std::nullopt;
        const std::string_view digits = line.substr(versionSize, statusSize);
        const std::string_view rest = line.substr(versionSize + statusSize);
        std::uint16_t status = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), status);
        const bool isStatus = error == std::errc() && end == digits.data() + digits.size() && isHttpStatus(status);
        if (!isStatus || (!rest.empty() && rest.front() != ' '))
            return std::nullopt;
        return ResponseHead { status, std::string(trimmed(rest)), {} };
    }

    struct CompleteHead {
        std::string_view text;
        std::size_t bytes { 0 };
    };

    std::variant<CompleteHead, HeadIncomplete, HeadFault> extractHead(std::string_view bytes, std::size_t maxBytes)
    {
        const std::size_t end = bytes.find(headEnd);
        const std::size_t size = end == std::string_view::npos ? bytes.size() : end + headEnd.size();
        if (size > maxBytes)
            return HeadFault { 431, "head too large" };
        if (end == std::string_view::npos)
            return HeadIncomplete {};
        return CompleteHead { bytes.substr(0, end + lineEnd.size()), size };
    }

    /** Parses a head. Values are kept as they were received, since a decoded one may contain line ends. */
    template <typename Head>
    std::variant<ParsedHead<Head>, HeadIncomplete, HeadFault> parseHead(
        std::string_view bytes, std::size_t maxBytes, std::optional<Head> (*parseStartLine)(std::string_view))
    {
        const auto extracted = extractHead(bytes, maxBytes);
        if (std::holds_alternative<HeadIncomplete>(extracted))
            return HeadIncomplete {};
        if (const auto* fault = std::get_if<HeadFault>(&extracted))
            return *fault;
        const CompleteHead& complete = *std::get_if<CompleteHead>(&extracted);
        std::string_view lines = complete.text;
        auto head = parseStartLine(nextLine(lines));
        if (!head)
            return HeadFault { 400, "malformed start line" };
        auto fields = parseFields(lines);
        if (const auto* fault = std::get_if<HeadFault>(&fields))
            return *fault;
        head->fields = std::move(*std::get_if<std::vector<HeaderField>>(&fields));
        return ParsedHead<Head> { std::move(*head), complete.bytes };
    }

    std::string serializeFields(const std::vector<HeaderField>& fields)
    {
        std::string text;
        for (const HeaderField& field : fields) {
            text += field.name;
            text += ": ";
            text += field.value;
            text += lineEnd;
        }
        text += lineEnd;
        return text;
    }

    /** Calls a function with each element of a comma-separated list. */
    template <typename Function> void forEachToken(std::string_view list, const Function& function)
    {
        while (!list.empty()) {
            const std::size_t comma = list.find(',');
            function(trimmed(list.substr(0, comma)));
            list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
        }
    }

}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char one, char other) {
        return std::tolower(static_cast<unsigned char>(one)) == std::tolower(static_cast<unsigned char>(other));
    });
}

std::variant<ParsedHead<RequestHead>, HeadIncomplete, HeadFault> parseRequestHead(
    std::string_view bytes, std::size_t maxBytes)
{
    return parseHead<RequestHead>(bytes, maxBytes, &parseRequestLine);
}

std::variant<ParsedHead<ResponseHead>, HeadIncomplete, HeadFault> parseResponseHead(
    std::string_view bytes, std::size_t maxBytes)
{
    return parseHead<ResponseHead>(bytes, maxBytes, &parseStatusLine);
}

std::string serializeHead(const RequestHead& head)
{
    return head.method + " " + head.target + " HTTP/1.1\r\n" + serializeFields(head.fields);
}

std::string serializeHead(const ResponseHead& head)
{
    return "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n" + serializeFields(head.fields);
}

const std::string* findField(const std::vector<HeaderField>& fields, std::string_view name)
{
    const auto found = std::find_if(
        fields.begin(), fields.end(), [&](const HeaderField& field) { return equalsIgnoringCase(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

void removeField(std::vector<HeaderField>& fields, std::string_view name)
{
    std::erase_if(fields, [&](const HeaderField& field) { return equalsIgnoringCase(field.name, name); });
}

void removeHopByHopFields(std::vector<HeaderField>& fields)
{
    std::vector<std::string> named;
    for (const HeaderField& field : fields) {
        if (equalsIgnoringCase(field.name, "connection"))
            forEachToken(field.value, [&](std::string_view token) { named.emplace_back(token); });
    }
    for (const std::string& name : named)
        removeField(fields, name);
    for (const std::string_view name : hopByHopFields)
        removeField(fields, name);
    removeField(fields, "content-length");
}

bool listHasToken(std::string_view list, std::string_view token)
{
    bool found = false;
    forEachToken(list, [&](std::string_view element) { found = found || equalsIgnoringCase(element, token); });
    return found;
}

}
