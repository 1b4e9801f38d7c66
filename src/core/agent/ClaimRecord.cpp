#include "core/agent/ClaimRecord.h"

#include <charconv>

namespace teaselfold {

namespace {

    constexpr std::string_view formatTag = "claim1";
    constexpr std::uint64_t stateCount = 3;
    constexpr std::uint64_t maxHeaders = 1000;

    /** Writes fields as `<length>:<bytes>`. */
    class FieldWriter {
    public:
        void add(std::string_view field)
        {
            this->text += std::to_string(field.size());
            this->text += ':';
            this->text += field;
        }

        void addNumber(std::uint64_t number) { this->add(std::to_string(number)); }

        std::string finish() { return std::move(this->text); }

    private:
        std::string text;
    };

    class FieldReader {
    public:
        explicit FieldReader(std::string_view text)
            : remaining(text)
        {
        }

        std::string next()
        {
            std::size_t length = 0;
            const auto [end, error]
                = std::from_chars(this->remaining.data(), this->remaining.data() + this->remaining.size(), length);
            const auto digits = static_cast<std::size_t>(end - this->remaining.data());
            const bool invalid = error != std::errc() || digits >= this->remaining.size() || *end != ':'
                || length > this->remaining.size() - digits - 1;
            if (invalid || this->malformed) {
                this->malformed = true;
                return {};
            }
            std::string field(this->remaining.substr(digits + 1, length));
            this->remaining.remove_prefix(digits + 1 + length);
            return field;
        }

        std::uint64_t nextNumber()
        {
            const std::string field = this->next();
            std::uint64_t number = 0;
            const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), number);
            this->malformed = this->malformed || error != std::errc() || end != field.data() + field.size();
            return number;
        }

        bool isMalformed() const { return this->malformed; }
        bool isComplete() const { return !this->malformed && this->remaining.empty(); }

    private:
        std::string_view remaining;
        bool malformed { false };
    };

    std::string escaped(const std::string& part)
    {
        static constexpr std::string_view digits = "0123456789abcdef";
        std::string result;
        for (const char symbol : part) {
            const auto byte = static_cast<unsigned char>(symbol);
            const bool plain = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
                || (byte >= '0' && byte <= '9') || byte == '-' || byte == '_' || byte == '.';
            if (plain) {
                result += symbol;
                continue;
            }
            result += '~';
            result += digits[byte >> 4U];
            result += digits[byte & 15U];
        }
        return result;
    }

}

std::string encodeClaim(const ClaimRecord& record)
{
    FieldWriter writer;
    writer.add(formatTag);
    writer.addNumber(static_cast<std::uint64_t>(record.state));
    writer.add(record.token);
    writer.addNumber(record.fingerprint.get());
    writer.addNumber(record.status);
    writer.addNumber(record.answerKept ? 1 : 0);
    writer.addNumber(record.headers.size());
    for (const Header& header : record.headers) {
        writer.add(header.name);
        writer.add(header.value);
    }
    writer.add(record.body);
    return writer.finish();
}

std::optional<ClaimRecord> decodeClaim(const std::string& text)
{
    FieldReader reader(text);
    if (reader.next() != formatTag)
        return std::nullopt;
    ClaimRecord record;
    const std::uint64_t state = reader.nextNumber();
    record.token = reader.next();
    record.fingerprint = Fingerprint(reader.nextNumber());
    record.status = static_cast<std::uint16_t>(reader.nextNumber());
    record.answerKept = reader.nextNumber() == 1;
    const std::uint64_t headers = reader.nextNumber();
    if (reader.isMalformed() || state >= stateCount || headers > maxHeaders)
        return std::nullopt;
    record.state = static_cast<ClaimState>(state);
    for (std::uint64_t index = 0; index < headers; ++index) {
        Header header;
        header.name = reader.next();
        header.value = reader.next();
        record.headers.push_back(std::move(header));
    }
    record.body = reader.next();
    return reader.isComplete() ? std::optional(std::move(record)) : std::nullopt;
}

std::string claimKey(const ServiceWork& work)
{
    return "claim/" + escaped(work.team.get()) + "/" + escaped(work.service.get()) + "/" + escaped(work.key.get());
}

}
