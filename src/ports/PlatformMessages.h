#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** One row of the platform's table. The platform raises `version` with each write; the first is 1. */
struct TableRecord {
    std::string key;
    std::string value;
    std::uint64_t version { 0 };
    bool operator==(const TableRecord&) const = default;
};

/** Writes a row if there is none with this key. */
struct TableInsert {
    std::string key;
    std::string value;
    bool operator==(const TableInsert&) const = default;
};

/** Replaces a row if its version is still the expected one. */
struct TableReplace {
    std::string key;
    std::string value;
    std::uint64_t expectedVersion { 0 };
    bool operator==(const TableReplace&) const = default;
};

/** Deletes a row if its version is still the expected one. */
struct TableErase {
    std::string key;
    std::uint64_t expectedVersion { 0 };
    bool operator==(const TableErase&) const = default;
};

struct TableRead {
    std::string key;
    bool operator==(const TableRead&) const = default;
};

/** Reads rows with a key prefix and a key greater than `after`, in key order. */
struct TableScan {
    std::string prefix;
    std::string after;
    std::uint32_t limit { 100 };
    bool operator==(const TableScan&) const = default;
};

struct ObjectWrite {
    std::string key;
    std::string value;
    bool operator==(const ObjectWrite&) const = default;
};

struct ObjectRead {
    std::string key;
    bool operator==(const ObjectRead&) const = default;
};

/** Reads the platform's lagging list of instances. */
struct InstanceListRead {
    bool operator==(const InstanceListRead&) const = default;
};

using PlatformRequest = std::variant<TableInsert, TableReplace, TableErase, TableRead, TableScan, ObjectWrite,
    ObjectRead, InstanceListRead>;

/** The write took effect; for an erase the version is zero. */
struct WriteDone {
    std::uint64_t version { 0 };
    bool operator==(const WriteDone&) const = default;
};

/** The condition did not hold. Carries the row that is there, if there is one. */
struct WriteConflict {
    std::optional<TableRecord> current;
    bool operator==(const WriteConflict&) const = default;
};

/** Rows found; empty when there are none. */
struct Rows {
    std::vector<TableRecord> rows;
    bool operator==(const Rows&) const = default;
};

struct ObjectFound {
    std::string value;
    bool operator==(const ObjectFound&) const = default;
};

struct ObjectMissing {
    bool operator==(const ObjectMissing&) const = default;
};

/** One line of the platform's instance list. */
struct InstanceState {
    std::string name;
    bool leaving { false };
    bool operator==(const InstanceState&) const = default;
};

struct InstanceList {
    std::vector<InstanceState> instances;
    bool operator==(const InstanceList&) const = default;
};

/** No answer. A write may have taken effect, or may still. `sent` is false when it certainly did not and will not. */
struct PlatformUnavailable {
    bool sent { true };
    bool operator==(const PlatformUnavailable&) const = default;
};

using PlatformResult
    = std::variant<WriteDone, WriteConflict, Rows, ObjectFound, ObjectMissing, InstanceList, PlatformUnavailable>;

/** A request to the platform with the id its result comes back under. */
struct PlatformOperation {
    OperationId operation;
    PlatformRequest request;
    bool operator==(const PlatformOperation&) const = default;
};

struct PlatformReply {
    OperationId operation;
    PlatformResult result;
    bool operator==(const PlatformReply&) const = default;
};

}
