#pragma once

#include "ports/Ids.h"
#include "ports/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselfold {

/** One row of the platform's table. The platform increments `version` with each write, starting at 1. */
struct TableRecord {
    std::string key;
    std::string value;
    std::uint64_t version { 0 };
    bool operator==(const TableRecord&) const = default;
};

/** Inserts a row if no row with this key exists. */
struct TableInsert {
    std::string key;
    std::string value;
    bool operator==(const TableInsert&) const = default;
};

/** Replaces a row if its version equals the expected one. */
struct TableReplace {
    std::string key;
    std::string value;
    std::uint64_t expectedVersion { 0 };
    bool operator==(const TableReplace&) const = default;
};

/** Deletes a row if its version equals the expected one. */
struct TableErase {
    std::string key;
    std::uint64_t expectedVersion { 0 };
    bool operator==(const TableErase&) const = default;
};

struct TableRead {
    std::string key;
    bool operator==(const TableRead&) const = default;
};

/** Reads the rows whose key has the prefix and is greater than `after`, in key order. */
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

/** Reads the platform's list of instances, which lags behind their actual state. */
struct InstanceListRead {
    bool operator==(const InstanceListRead&) const = default;
};

using PlatformRequest = std::variant<TableInsert, TableReplace, TableErase, TableRead, TableScan, ObjectWrite,
    ObjectRead, InstanceListRead>;

/** The write succeeded. The version is zero for an erase. */
struct WriteDone {
    std::uint64_t version { 0 };
    bool operator==(const WriteDone&) const = default;
};

/** The write's condition was not met. Carries the existing row, if there is one. */
struct WriteConflict {
    std::optional<TableRecord> current;
    bool operator==(const WriteConflict&) const = default;
};

/** The rows found; empty when there are none. */
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

/** One element of the platform's instance list. */
struct InstanceState {
    std::string name;
    /** True when the platform has announced the instance's removal. */
    bool leaving { false };
    bool operator==(const InstanceState&) const = default;
};

struct InstanceList {
    std::vector<InstanceState> instances;
    bool operator==(const InstanceList&) const = default;
};

/**
 * The platform did not respond. A write may have taken effect or may still do so, unless `sent` is false: then it
 * neither has nor will.
 */
struct PlatformUnavailable {
    bool sent { true };
    bool operator==(const PlatformUnavailable&) const = default;
};

using PlatformResult
    = std::variant<WriteDone, WriteConflict, Rows, ObjectFound, ObjectMissing, InstanceList, PlatformUnavailable>;

/** A request to the platform with the id that its PlatformReply carries. */
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
