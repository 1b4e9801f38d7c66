#pragma once

#include "ports/Fleet.h"
#include "ports/Outcome.h"

#include <string>

namespace teaselfold {

/** Port that serializes configuration objects to the text stored in the table and the object store, and parses it. */
class DocumentCodec {
public:
    virtual ~DocumentCodec() = default;
    virtual std::string encodeFleet(const Fleet& fleet) const = 0;
    virtual Outcome<Fleet> decodeFleet(const std::string& document) const = 0;
    virtual std::string encodeNote(const ReleaseNote& note) const = 0;
    virtual Outcome<ReleaseNote> decodeNote(const std::string& document) const = 0;
    virtual std::string encodeOrder(const ServiceOrder& order) const = 0;
    virtual Outcome<ServiceOrder> decodeOrder(const std::string& document) const = 0;
    virtual std::string encodeAuditRecord(const AuditRecord& auditRecord) const = 0;
    virtual Outcome<AuditRecord> decodeAuditRecord(const std::string& document) const = 0;
};

}
