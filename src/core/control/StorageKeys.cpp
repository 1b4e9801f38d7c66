#include "core/control/StorageKeys.h"

#include "core/common/HexText.h"

#include <charconv>
#include <string_view>

namespace teaselfold {

namespace {

    constexpr std::size_t versionDigits = 20;
    constexpr std::size_t fingerprintDigits = 16;

    std::string zeroPadded(std::uint64_t number)
    {
        const std::string digits = std::to_string(number);
        return std::string(versionDigits - digits.size(), '0') + digits;
    }

}

std::string releaseKey(ReleaseVersion version) { return releasePrefix + zeroPadded(version.get()); }

std::string snapshotObjectKey(ReleaseVersion version) { return "fleet/" + std::to_string(version.get()); }

std::string orderKey(const OrderSubject& subject) { return orderPrefix + subjectText(subject); }

std::string auditRecordKey(const AuditRecord& act)
{
    const auto time = static_cast<std::uint64_t>(act.at.time_since_epoch().count());
    return auditRecordPrefix + zeroPadded(time) + "-" + act.id.get();
}

std::string fingerprintText(Fingerprint fingerprint) { return hexText(fingerprint.get()); }

std::optional<Fingerprint> parseFingerprint(const std::string& text)
{
    constexpr int hexadecimal = 16;
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, hexadecimal);
    if (error != std::errc {} || stop != end || text.size() != fingerprintDigits)
        return std::nullopt;
    return Fingerprint(value);
}

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
