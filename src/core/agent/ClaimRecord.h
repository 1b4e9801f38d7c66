#pragma once

#include "ports/LinkMessages.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselfold {

enum class ClaimState : std::uint8_t {
    /** The claimer runs the call, or died and nobody knows. */
    Claimed,
    /** The call ran; the row holds its answer. */
    Done,
    /** The claimer says that the call did not run; the key may be claimed again. */
    NotRun,
};

/** The value of the table row of a call that runs at most once. */
struct ClaimRecord {
    ClaimState state { ClaimState::Claimed };
    /** Drawn by the claimer for this one claim. */
    std::string token;
    /** Content of the call; another content under the same key is a conflict. */
    Fingerprint fingerprint;
    std::uint16_t status { 0 };
    /** False when the answer was too long to be kept. */
    bool answerKept { true };
    std::vector<Header> headers;
    std::string body;
    bool operator==(const ClaimRecord&) const = default;
};

/** @return the row's value. */
std::string encodeClaim(const ClaimRecord& record);

/** @return the record, or nothing when the text is none. */
std::optional<ClaimRecord> decodeClaim(const std::string& text);

/** @return the row's key `claim/<team>/<service>/<key>`, each part escaped so that it holds no slash. */
std::string claimKey(const ServiceWork& work);

}
