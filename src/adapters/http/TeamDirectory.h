#pragma once

#include "ports/Fleet.h"
#include "ports/Outcome.h"

#include <map>
#include <optional>
#include <shared_mutex>
#include <string>

namespace teaselfold {

/** The teams' token hashes of the configuration in force. Safe to use from any thread. */
class TeamDirectory {
public:
    /** Takes over the teams of a newer configuration. */
    void update(const Fleet& fleet);
    /**
     * Checks that a caller may act for a team.
     * @param token the bearer token; empty when the caller sent none.
     * @return the refusal, or nothing when the caller may.
     */
    std::optional<Failure> check(const TeamId& team, const std::string& token) const;

private:
    mutable std::shared_mutex mutex;
    bool known { false };
    std::map<TeamId, std::string> tokenHashes;
};

}
