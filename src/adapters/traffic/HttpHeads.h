#pragma once

#include "ports/TrafficCodec.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace teaselfold {

/** More bytes are needed for a whole head. */
struct HeadIncomplete { };

/** The bytes are no head that this front accepts. */
struct HeadFault {
    /** Status that tells the sender. */
    std::uint16_t status { 400 };
    std::string reason;
};

/** A parsed head and the bytes that it took. */
template <typename Head> struct ParsedHead {
    Head head;
    std::size_t bytes { 0 };
};

/**
 * Parses the head at the beginning of the bytes. Refuses everything that two readers could read differently.
 * @param maximumBytes a longer head is a fault with status 431.
 */
std::variant<ParsedHead<RequestHead>, HeadIncomplete, HeadFault> parseRequestHead(
    std::string_view bytes, std::size_t maximumBytes);

/** Parses an answer's head. */
std::variant<ParsedHead<ResponseHead>, HeadIncomplete, HeadFault> parseAnswerHead(
    std::string_view bytes, std::size_t maximumBytes);

/** @return the head as it goes on the wire, with the empty line. */
std::string printHead(const RequestHead& head);
std::string printHead(const ResponseHead& head);

/** @return the first field with this name in any case, or null. */
const std::string* findField(const std::vector<HeaderField>& fields, std::string_view name);
/** Removes all fields with this name. */
void removeField(std::vector<HeaderField>& fields, std::string_view name);
/** Removes the fields that concern one connection only, also those that `Connection` names, and all framing. */
void removeHopFields(std::vector<HeaderField>& fields);
/** @return true when the comma-separated list contains the token, in any case. */
bool listHasToken(std::string_view list, std::string_view token);
/** @return true when both texts are the same but for case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

}
