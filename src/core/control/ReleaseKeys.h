#pragma once

#include "ports/Fleet.h"

#include <optional>
#include <string>

namespace teaselfold {

/** Prefix of the rows that hold accepted notes. */
inline constexpr const char* releasePrefix = "release/";
/** Prefix of the rows that hold service orders. */
inline constexpr const char* orderPrefix = "order/";
/** Prefix of the rows that hold operators' acts. */
inline constexpr const char* actPrefix = "act/";
/** Key of the row that names the newest snapshot. */
inline constexpr const char* snapshotKey = "snapshot";

/** @return the key of an accepted note, which sorts by version. */
std::string releaseKey(ReleaseVersion version);

/** @return the key of the object that holds a whole configuration. */
std::string fleetKey(ReleaseVersion version);

/** @return the key of the row that holds the order for a subject. */
std::string orderKey(const OrderSubject& subject);

/** @return the key of the record of an act, which sorts by time. */
std::string actKey(const AuditRecord& act);

/** @return the fingerprint as 16 hexadecimal digits. */
std::string fingerprintText(Fingerprint fingerprint);

/** @return the fingerprint in 16 hexadecimal digits, or nothing. */
std::optional<Fingerprint> parseFingerprint(const std::string& text);

/** @return the subject for messages, such as `zone/kgl-a`. */
std::string subjectText(const OrderSubject& subject);

/** @return the version in a decimal text, or nothing when it is none. */
std::optional<ReleaseVersion> parseVersion(const std::string& text);

/** @return the version in the key of an accepted note, or nothing when the key is another. */
std::optional<ReleaseVersion> parseReleaseKey(const std::string& key);

/** @return the version after this one. */
ReleaseVersion nextVersion(ReleaseVersion version);

}
