#pragma once

#include "ports/Fleet.h"
#include "ports/Outcome.h"

#include <map>
#include <optional>
#include <shared_mutex>
#include <string>

namespace teaselfold {

/** Holds the teams' token hashes from the configuration in force. Safe to use from any thread. */
class TeamDirectory {
public:
    /** Replaces the teams with those of a newer configuration. */
    void update(const Fleet& fleet);
    /**
     * Checks whether a caller may act for a team.
     * @param token the bearer token; empty if the caller sent none.
     * @return the failure, or nothing if the caller is authorized.
     */
    std::optional<Failure> authorize(const TeamId& team, const std::string& token) const;

private:
    mutable std::shared_mutex mutex;
    bool hasConfiguration { false };
    std::map<TeamId, std::string> tokenHashes;
};

}
