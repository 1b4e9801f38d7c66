#pragma once

#include "ports/DocumentCodec.h"

namespace teaselfold {

/** Writes documents as JSON. Reads JSON and YAML by one reader that lists every fault in the Failure's message. */
class JsonDocumentCodec : public DocumentCodec {
public:
    std::string encodeFleet(const Fleet& fleet) const override;
    Outcome<Fleet> decodeFleet(const std::string& document) const override;
    std::string encodeNote(const ReleaseNote& note) const override;
    Outcome<ReleaseNote> decodeNote(const std::string& document) const override;
    std::string encodeOrder(const ServiceOrder& order) const override;
    Outcome<ServiceOrder> decodeOrder(const std::string& document) const override;
    std::string encodeAuditRecord(const AuditRecord& act) const override;
    Outcome<AuditRecord> decodeAuditRecord(const std::string& document) const override;
};

}
