#pragma once

#include "ports/Fleet.h"

#include <optional>
#include <string>

namespace teaselfold {

/** Key prefix of the rows that hold accepted notes. */
inline constexpr const char* releasePrefix = "release/";
/** Key prefix of the rows that hold service orders. */
inline constexpr const char* orderPrefix = "order/";
/** Key prefix of the rows that hold operators' acts. */
inline constexpr const char* auditRecordPrefix = "act/";
/** Key of the row that holds the version of the newest snapshot. */
inline constexpr const char* snapshotRowKey = "snapshot";

/** @return the row key of an accepted note. Keys sort by version. */
std::string releaseKey(ReleaseVersion version);

/** @return the key of the object that holds a snapshot of the configuration. */
std::string snapshotObjectKey(ReleaseVersion version);

/** @return the key of the row that holds the order for a subject. */
std::string orderKey(const OrderSubject& subject);

/** @return the row key of an act. Keys sort by time. */
std::string auditRecordKey(const AuditRecord& act);

/** @return the fingerprint as 16 hexadecimal digits. */
std::string fingerprintText(Fingerprint fingerprint);

/** @return the fingerprint, or nothing when the text is not 16 hexadecimal digits. */
std::optional<Fingerprint> parseFingerprint(const std::string& text);

/** @return the subject as used in keys and messages, such as `zone/kgl-a`. */
std::string subjectText(const OrderSubject& subject);

/** @return the version, or nothing when the text is not a decimal number. */
std::optional<ReleaseVersion> parseVersion(const std::string& text);

/** @return the version, or nothing when the key is not that of an accepted note. */
std::optional<ReleaseVersion> parseReleaseKey(const std::string& key);

ReleaseVersion nextVersion(ReleaseVersion version);

}
