#pragma once

#include "ports/DocumentCodec.h"

namespace teaselfold {

/** Writes documents as JSON and reads JSON and YAML. The message of a decoding Failure lists every problem. */
class JsonDocumentCodec : public DocumentCodec {
public:
    std::string encodeFleet(const Fleet& fleet) const override;
    Outcome<Fleet> decodeFleet(const std::string& document) const override;
    std::string encodeNote(const ReleaseNote& note) const override;
    Outcome<ReleaseNote> decodeNote(const std::string& document) const override;
    std::string encodeOrder(const ServiceOrder& order) const override;
    Outcome<ServiceOrder> decodeOrder(const std::string& document) const override;
    std::string encodeAuditRecord(const AuditRecord& record) const override;
    Outcome<AuditRecord> decodeAuditRecord(const std::string& document) const override;
};

}
