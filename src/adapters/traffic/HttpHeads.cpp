#include "adapters/traffic/HttpHeads.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace teaselfold {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lineEnd = "\r\n";
    constexpr int maxFields = 128;
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

    bool hasControl(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), [](char character) {
            const auto code = static_cast<unsigned char>(character);
            return (code < 0x20 && character != '\t') || code == 0x7f;
        });
    }

    /** Requires a name directly before the colon and a value without control characters; rejects folded lines. */
    bool isFieldLine(std::string_view line)
    {
        const std::size_t colon = line.find(':');
        return colon != std::string_view::npos && isToken(line.substr(0, colon)) && !hasControl(line.substr(colon + 1));
    }

    std::string_view nextLine(std::string_view& text)
    {
        const std::size_t end = text.find(lineEnd);
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + lineEnd.size());
        return line;
    }

    /** @return the first fault of the field lines, or nothing. */
    std::optional<HeadFault> checkFields(std::string_view lines)
    {
        int count = 0;
        while (!lines.empty()) {
            if (!isFieldLine(nextLine(lines)))
                return HeadFault { 400, "malformed field" };
            if (++count > maxFields)
                return HeadFault { 431, "too many fields" };
        }
        return std::nullopt;
    }

    bool isRequestLine(std::string_view line)
    {
        const std::size_t first = line.find(' ');
        const std::size_t last = line.rfind(' ');
        if (first == std::string_view::npos || first == last)
            return false;
        const std::string_view target = line.substr(first + 1, last - first - 1);
        const std::string_view version = line.substr(last + 1);
        const bool plainTarget = !target.empty() && target.find(' ') == std::string_view::npos && !hasControl(target);
        return isToken(line.substr(0, first)) && plainTarget && target.front() == '/'
            && (version == "HTTP/1.1" || version == "HTTP/1.0");
    }

    bool isStatusLine(std::string_view line)
    {
        return (line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ")) && !hasControl(line);
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

    /** Validates a complete head, then lets POCO parse it. */
    template <typename Message>
    std::variant<ParsedHead<Message>, HeadIncomplete, HeadFault> parseMessage(
        std::string_view bytes, std::size_t maxBytes, bool (*isStartLine)(std::string_view))
    {
        const auto extracted = extractHead(bytes, maxBytes);
        if (std::holds_alternative<HeadIncomplete>(extracted))
            return HeadIncomplete {};
        if (const auto* fault = std::get_if<HeadFault>(&extracted))
            return *fault;
        const CompleteHead& complete = *std::get_if<CompleteHead>(&extracted);
        std::string_view lines = complete.text;
        if (!isStartLine(nextLine(lines)))
            return HeadFault { 400, "malformed start line" };
        if (const auto fault = checkFields(lines))
            return *fault;
        try {
            ParsedHead<Message> parsed;
            parsed.bytes = complete.bytes;
            Poco::MemoryInputStream stream(bytes.data(), static_cast<std::streamsize>(complete.bytes));
            parsed.head.setFieldLimit(maxFields);
            parsed.head.read(stream);
            return parsed;
        } catch (const Poco::Exception& error) {
            return HeadFault { 400, error.displayText() };
        }
    }

    std::vector<HeaderField> fieldsOf(const Poco::Net::MessageHeader& message)
    {
        std::vector<HeaderField> fields;
        for (const auto& [name, value] : message)
            fields.push_back({ name, value });
        return fields;
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

    std::string_view trimmed(std::string_view text)
    {
        const std::size_t first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
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
    auto read = parseMessage<Poco::Net::HTTPRequest>(bytes, maxBytes, &isRequestLine);
    if (std::holds_alternative<HeadIncomplete>(read))
        return HeadIncomplete {};
    if (const auto* fault = std::get_if<HeadFault>(&read))
        return *fault;
    const auto& parsed = *std::get_if<ParsedHead<Poco::Net::HTTPRequest>>(&read);
    RequestHead head { parsed.head.getMethod(), parsed.head.getURI(),
        parsed.head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0, fieldsOf(parsed.head) };
    return ParsedHead<RequestHead> { std::move(head), parsed.bytes };
}

std::variant<ParsedHead<ResponseHead>, HeadIncomplete, HeadFault> parseResponseHead(
    std::string_view bytes, std::size_t maxBytes)
{
    auto read = parseMessage<Poco::Net::HTTPResponse>(bytes, maxBytes, &isStatusLine);
    if (std::holds_alternative<HeadIncomplete>(read))
        return HeadIncomplete {};
    if (const auto* fault = std::get_if<HeadFault>(&read))
        return *fault;
    const auto& parsed = *std::get_if<ParsedHead<Poco::Net::HTTPResponse>>(&read);
    ResponseHead head { static_cast<std::uint16_t>(parsed.head.getStatus()), parsed.head.getReason(),
        fieldsOf(parsed.head) };
    return ParsedHead<ResponseHead> { std::move(head), parsed.bytes };
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
