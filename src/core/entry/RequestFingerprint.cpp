#include "core/entry/RequestFingerprint.h"

#include "core/entry/Rendezvous.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace teaselfold {

namespace {

    Fingerprint hashParts(std::initializer_list<std::string_view> parts)
    {
        std::string text;
        for (const std::string_view part : parts) {
            text += std::to_string(part.size());
            text += ':';
            text += part;
        }
        return Fingerprint(hashOf(text));
    }

}

Fingerprint fingerprintOf(const CompletionWork& work)
{
    return hashParts({ work.team.get(), work.model.get(), work.adapter, work.prompt, std::to_string(work.maxTokens) });
}

Fingerprint fingerprintOf(const ServiceWork& work)
{
    return hashParts({ work.team.get(), work.service.get(), work.method, work.path, work.body });
}

Fingerprint fingerprintOf(const GatewayRequest& request, std::string_view body)
{
    return hashParts({ request.path, request.key, body });
}

}
