#include "adapters/http/AdminTokens.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace teaselfold::Internal {

namespace {

    bool equalInConstantTime(const std::string& left, const std::string& right)
    {
        if (left.size() != right.size())
            return false;
        unsigned difference = 0;
        for (std::size_t i = 0; i < left.size(); ++i)
            difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
        return difference == 0;
    }

}

std::string sha256Hex(const std::string& text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

const AdminToken* findToken(const std::string& authorization, const std::vector<AdminToken>& tokens)
{
    const std::string scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return nullptr;
    const std::string hash = sha256Hex(authorization.substr(scheme.size()));
    const AdminToken* match = nullptr;
    for (const AdminToken& token : tokens) {
        if (equalInConstantTime(hash, token.sha256))
            match = &token;
    }
    return match;
}

}
