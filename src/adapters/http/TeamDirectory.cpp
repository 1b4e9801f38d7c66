#include "adapters/http/TeamDirectory.h"

#include <Poco/Crypto/DigestEngine.h>

#include <mutex>

namespace teaselfold {

namespace {

    std::string sha256Hex(const std::string& text)
    {
        Poco::Crypto::DigestEngine engine("SHA256");
        engine.update(text);
        return Poco::DigestEngine::digestToHex(engine.digest());
    }

    /** Compares in a time that does not depend on where the texts differ. */
    bool equalInConstantTime(const std::string& left, const std::string& right)
    {
        if (left.size() != right.size())
            return false;
        unsigned difference = 0;
        for (std::size_t i = 0; i < left.size(); ++i)
            difference |= static_cast<unsigned>(left[i] ^ right[i]);
        return difference == 0;
    }

}

void TeamDirectory::update(const Fleet& fleet)
{
    std::unique_lock lock(this->mutex);
    this->hasConfiguration = true;
    this->tokenHashes.clear();
    for (const auto& [id, team] : fleet.teams)
        this->tokenHashes[id] = team.tokenHash;
}

std::optional<Failure> TeamDirectory::authorize(const TeamId& team, const std::string& token) const
{
    std::shared_lock lock(this->mutex);
    if (!this->hasConfiguration)
        return Failure { ErrorCode::NotReady, "no configuration is known yet", Executed::No, Seconds(1) };
    const auto found = this->tokenHashes.find(team);
    if (found == this->tokenHashes.end())
        return Failure { ErrorCode::Forbidden, "the team is not known", Executed::No };
    if (found->second.empty())
        return std::nullopt;
    if (token.empty())
        return Failure { ErrorCode::Unauthorized, "the team's bearer token is required", Executed::No };
    if (!equalInConstantTime(found->second, sha256Hex(token)))
        return Failure { ErrorCode::Forbidden, "the bearer token is not the team's", Executed::No };
    return std::nullopt;
}

}
