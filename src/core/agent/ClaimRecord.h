#pragma once

#include "ports/LinkMessages.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselfold {

enum class ClaimState : std::uint8_t {
    /** The claiming agent runs the call, or died without recording an outcome. */
    Claimed,
    /** The call ran; the record holds its answer. */
    Done,
    /** The claiming agent recorded that the call did not run; the key may be claimed again. */
    NotRun,
};

/** The value of the platform's table row for a call that runs at most once. */
struct ClaimRecord {
    ClaimState state { ClaimState::Claimed };
    /** Random token that identifies this one claim. */
    std::string token;
    /** Fingerprint of the call's content; different content under the same key is a conflict. */
    Fingerprint fingerprint;
    std::uint16_t status { 0 };
    /** False when the answer was too long to be stored. */
    bool answerKept { true };
    std::vector<Header> headers;
    std::string body;
    bool operator==(const ClaimRecord&) const = default;
};

/** @return the record encoded as the value of a table row. */
std::string encodeClaim(const ClaimRecord& record);

/** @return the record; nothing when the text is not a valid record. */
std::optional<ClaimRecord> decodeClaim(const std::string& text);

/** @return the row's key `claim/<team>/<service>/<key>`; each part is escaped so that it contains no slash. */
std::string claimKey(const ServiceWork& work);

}
