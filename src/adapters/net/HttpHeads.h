#pragma once

#include "ports/TrafficCodec.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace teaselfold {

/** More bytes are needed to complete the head. */
struct HeadIncomplete { };

/** The head is malformed or exceeds a limit. */
struct HeadFault {
    /** HTTP status for the sender. */
    std::uint16_t status { 400 };
    std::string reason;
};

/** A parsed head and its size in bytes. */
template <typename Head> struct ParsedHead {
    Head head;
    std::size_t bytes { 0 };
};

/**
 * Parses the request head at the beginning of the bytes. Rejects every head that two parsers could interpret
 * differently, which prevents request smuggling.
 * @param maxBytes size limit; a longer head is a fault with status 431.
 */
std::variant<ParsedHead<RequestHead>, HeadIncomplete, HeadFault> parseRequestHead(
    std::string_view bytes, std::size_t maxBytes);

/** Parses the response head at the beginning of the bytes. */
std::variant<ParsedHead<ResponseHead>, HeadIncomplete, HeadFault> parseResponseHead(
    std::string_view bytes, std::size_t maxBytes);

/** @return the head in wire format, including the empty line that ends it. */
std::string serializeHead(const RequestHead& head);
std::string serializeHead(const ResponseHead& head);

/** @return the value of the first field with this name, compared case-insensitively; null when there is none. */
const std::string* findField(const std::vector<HeaderField>& fields, std::string_view name);
/** Removes all fields with this name, compared case-insensitively. */
void removeField(std::vector<HeaderField>& fields, std::string_view name);
/** Removes the hop-by-hop fields, those named by `Connection`, and all framing fields. */
void removeHopByHopFields(std::vector<HeaderField>& fields);
/** @return true when the comma-separated list contains the token, compared case-insensitively. */
bool listHasToken(std::string_view list, std::string_view token);
bool equalsIgnoringCase(std::string_view left, std::string_view right);

}
