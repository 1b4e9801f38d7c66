#include "core/control/ReleaseKeys.h"

#include <charconv>
#include <string_view>

namespace teaselfold {

namespace {

    constexpr std::size_t versionDigits = 20;

}

std::string releaseKey(ReleaseVersion version)
{
    const std::string digits = std::to_string(version.get());
    return releasePrefix + std::string(versionDigits - digits.size(), '0') + digits;
}

std::string fleetKey(ReleaseVersion version) { return "fleet/" + std::to_string(version.get()); }

std::string orderKey(const OrderSubject& subject) { return orderPrefix + subjectText(subject); }

std::string subjectText(const OrderSubject& subject)
{
    if (const auto* zone = std::get_if<ZoneId>(&subject))
        return "zone/" + zone->get();
    return "endpoint/" + std::get<EndpointId>(subject).get();
}

std::optional<ReleaseVersion> parseVersion(const std::string& text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc {} || stop != end || text.empty())
        return std::nullopt;
    return ReleaseVersion(value);
}

std::optional<ReleaseVersion> parseReleaseKey(const std::string& key)
{
    if (!key.starts_with(releasePrefix))
        return std::nullopt;
    return parseVersion(key.substr(std::string_view(releasePrefix).size()));
}

ReleaseVersion nextVersion(ReleaseVersion version) { return ReleaseVersion(version.get() + 1); }

}
