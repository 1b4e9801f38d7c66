#include "adapters/fleet/JsonDocumentCodec.h"

#include "adapters/fleet/FleetDocuments.h"

#include <sstream>

namespace teaselfold {

namespace {

    std::string stringify(const Poco::JSON::Object::Ptr& json)
    {
        std::ostringstream text;
        json->stringify(text);
        return text.str();
    }

    std::string describe(const std::vector<NoteProblem>& problems)
    {
        std::string text;
        for (const NoteProblem& problem : problems) {
            text += text.empty() ? "" : "; ";
            text += problem.place + " (line " + std::to_string(problem.line) + "): expected " + problem.expected;
        }
        return text;
    }

    /** Decodes a document with the given reader; the message of a Failure lists every problem. */
    template <typename Result>
    Outcome<Result> decode(const std::string& document, Result (*read)(Internal::DocumentReader&))
    {
        Internal::ParseDiagnostics diagnostics;
        try {
            Internal::DocumentReader reader(YAML::Load(document), "", diagnostics);
            Result result = read(reader);
            if (diagnostics.problems.empty())
                return result;
        } catch (const YAML::Exception& error) {
            diagnostics.problems.push_back({ "", "a well-formed document: " + error.msg, 0 });
        }
        return Failure { ErrorCode::BadRequest, describe(diagnostics.problems), Executed::No, Milliseconds(0) };
    }

}

std::string JsonDocumentCodec::encodeFleet(const Fleet& fleet) const { return stringify(Internal::writeFleet(fleet)); }

Outcome<Fleet> JsonDocumentCodec::decodeFleet(const std::string& document) const
{
    return decode<Fleet>(document, Internal::readFleet);
}

std::string JsonDocumentCodec::encodeNote(const ReleaseNote& note) const
{
    return stringify(Internal::writeNote(note));
}

Outcome<ReleaseNote> JsonDocumentCodec::decodeNote(const std::string& document) const
{
    return decode<ReleaseNote>(document, Internal::readNote);
}

std::string JsonDocumentCodec::encodeOrder(const ServiceOrder& order) const
{
    return stringify(Internal::writeOrder(order));
}

Outcome<ServiceOrder> JsonDocumentCodec::decodeOrder(const std::string& document) const
{
    return decode<ServiceOrder>(document, Internal::readOrder);
}

std::string JsonDocumentCodec::encodeAuditRecord(const AuditRecord& record) const
{
    return stringify(Internal::writeAuditRecord(record));
}

Outcome<AuditRecord> JsonDocumentCodec::decodeAuditRecord(const std::string& document) const
{
    return decode<AuditRecord>(document, Internal::readAuditRecord);
}

}
