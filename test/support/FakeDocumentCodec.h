#pragma once

#include "ports/DocumentCodec.h"

namespace teaselfold::Test {

/** Encodes only versions and ids, which suffices to identify a document after its transfer. */
class FakeDocumentCodec final : public DocumentCodec {
public:
    std::string encodeFleet(const Fleet& fleet) const override { return std::to_string(fleet.version.get()); }
    Outcome<Fleet> decodeFleet(const std::string& document) const override
    {
        if (document.empty() || document.find_first_not_of("0123456789") != std::string::npos || document.size() > 9)
            return Failure { ErrorCode::BadRequest, "not a fleet", Executed::No, Milliseconds(0) };
        Fleet fleet;
        fleet.version = ReleaseVersion(std::stoull(document));
        return fleet;
    }
    std::string encodeNote(const ReleaseNote& note) const override { return note.id.get(); }
    Outcome<ReleaseNote> decodeNote(const std::string& document) const override
    {
        ReleaseNote note;
        note.id = NoteId(document);
        return note;
    }
    std::string encodeOrder(const ServiceOrder& order) const override { return order.id.get(); }
    Outcome<ServiceOrder> decodeOrder(const std::string&) const override { return ServiceOrder {}; }
    std::string encodeAuditRecord(const AuditRecord& record) const override { return record.id.get(); }
    Outcome<AuditRecord> decodeAuditRecord(const std::string&) const override { return AuditRecord {}; }
};

}
