#include "core/agent/ClaimRecord.h"

#include <charconv>

namespace teaselfold {

namespace {

    constexpr std::string_view formatName = "claim1";
    constexpr std::uint64_t stateCount = 3;
    constexpr std::uint64_t headerLimit = 1000;

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

        std::string take() { return std::move(this->text); }

    private:
        std::string text;
    };

    class FieldReader {
    public:
        explicit FieldReader(std::string_view text)
            : rest(text)
        {
        }

        std::string next()
        {
            std::size_t length = 0;
            const auto [end, error] = std::from_chars(this->rest.data(), this->rest.data() + this->rest.size(), length);
            const auto digits = static_cast<std::size_t>(end - this->rest.data());
            const bool wrong = error != std::errc() || digits >= this->rest.size() || *end != ':'
                || length > this->rest.size() - digits - 1;
            if (wrong || this->broken) {
                this->broken = true;
                return {};
            }
            std::string field(this->rest.substr(digits + 1, length));
            this->rest.remove_prefix(digits + 1 + length);
            return field;
        }

        std::uint64_t nextNumber()
        {
            const std::string field = this->next();
            std::uint64_t number = 0;
            const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), number);
            this->broken = this->broken || error != std::errc() || end != field.data() + field.size();
            return number;
        }

        bool isBroken() const { return this->broken; }
        bool isWhole() const { return !this->broken && this->rest.empty(); }

    private:
        std::string_view rest;
        bool broken { false };
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
    writer.add(formatName);
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
    return writer.take();
}

std::optional<ClaimRecord> decodeClaim(const std::string& text)
{
    FieldReader reader(text);
    if (reader.next() != formatName)
        return std::nullopt;
    ClaimRecord record;
    const std::uint64_t state = reader.nextNumber();
    record.token = reader.next();
    record.fingerprint = Fingerprint(reader.nextNumber());
    record.status = static_cast<std::uint16_t>(reader.nextNumber());
    record.answerKept = reader.nextNumber() == 1;
    const std::uint64_t headers = reader.nextNumber();
    if (reader.isBroken() || state >= stateCount || headers > headerLimit)
        return std::nullopt;
    record.state = static_cast<ClaimState>(state);
    for (std::uint64_t index = 0; index < headers; ++index) {
        Header header;
        header.name = reader.next();
        header.value = reader.next();
        record.headers.push_back(std::move(header));
    }
    record.body = reader.next();
    return reader.isWhole() ? std::optional(std::move(record)) : std::nullopt;
}

std::string claimKey(const ServiceWork& work)
{
    return "claim/" + escaped(work.team.get()) + "/" + escaped(work.service.get()) + "/" + escaped(work.key.get());
}

}
