#include "adapters/traffic/BodyDecoder.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace teaselfold {

namespace {

    constexpr std::size_t maximumLineBytes = 1024;
    constexpr int hexadecimal = 16;
    constexpr int decimal = 10;
    constexpr std::uint64_t largestChunk = std::uint64_t { 1 } << 40;
    constexpr std::uint16_t noContent = 204;
    constexpr std::uint16_t notModified = 304;

    std::optional<std::uint64_t> parseWhole(std::string_view text, int base)
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
        if (text.empty() || error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::size_t countField(const std::vector<HeaderField>& fields, std::string_view name)
    {
        return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(),
            [&](const HeaderField& field) { return equalsIgnoringCase(field.name, name); }));
    }

    /** @return the stated framing; nothing when none is stated. */
    std::variant<std::optional<BodyFraming>, HeadFault> statedFraming(const std::vector<HeaderField>& fields)
    {
        const std::size_t lengths = countField(fields, "content-length");
        const std::size_t encodings = countField(fields, "transfer-encoding");
        if (lengths + encodings > 1)
            return HeadFault { 400, "conflicting framing" };
        if (encodings == 1) {
            if (!equalsIgnoringCase(*findField(fields, "transfer-encoding"), "chunked"))
                return HeadFault { 400, "unknown transfer encoding" };
            return BodyFraming { BodyKind::Chunked, 0 };
        }
        if (lengths == 0)
            return std::nullopt;
        const auto length = parseWhole(*findField(fields, "content-length"), decimal);
        if (!length)
            return HeadFault { 400, "malformed length" };
        return BodyFraming { BodyKind::Length, *length };
    }

}

std::variant<BodyFraming, HeadFault> requestFraming(const RequestHead& head)
{
    const auto stated = statedFraming(head.fields);
    if (const auto* fault = std::get_if<HeadFault>(&stated))
        return *fault;
    const auto framing = std::get_if<std::optional<BodyFraming>>(&stated)->value_or(BodyFraming {});
    if (head.isHttp10 && framing.kind == BodyKind::Chunked)
        return HeadFault { 400, "chunks in HTTP/1.0" };
    return framing;
}

std::variant<BodyFraming, HeadFault> answerFraming(const ResponseHead& head)
{
    if (head.status == noContent || head.status == notModified)
        return BodyFraming {};
    const auto stated = statedFraming(head.fields);
    if (const auto* fault = std::get_if<HeadFault>(&stated))
        return *fault;
    return std::get_if<std::optional<BodyFraming>>(&stated)->value_or(BodyFraming { BodyKind::UntilClose, 0 });
}

std::size_t BodyDecoder::feed(std::string_view bytes, std::string& body)
{
    if (this->framing.kind == BodyKind::Length)
        return this->feedLength(bytes, body);
    if (this->framing.kind == BodyKind::Chunked)
        return this->feedChunked(bytes, body);
    body.append(bytes);
    return bytes.size();
}

std::size_t BodyDecoder::feedLength(std::string_view bytes, std::string& body)
{
    const std::size_t count = std::min<std::uint64_t>(this->left, bytes.size());
    body.append(bytes.substr(0, count));
    this->left -= count;
    return count;
}

bool BodyDecoder::takeLine(std::string_view bytes, std::size_t& used)
{
    const std::size_t end = bytes.find('\n', used);
    const std::size_t stop = end == std::string_view::npos ? bytes.size() : end + 1;
    this->line.append(bytes.substr(used, stop - used));
    used = stop;
    this->broken = this->line.size() > maximumLineBytes;
    if (end == std::string_view::npos || this->broken)
        return false;
    this->broken = !this->line.ends_with("\r\n");
    return !this->broken;
}

void BodyDecoder::startChunk()
{
    std::string_view size = std::string_view(this->line).substr(0, this->line.size() - 2);
    size = size.substr(0, size.find(';'));
    const auto length = parseWhole(size, hexadecimal);
    this->broken = !length || *length > largestChunk;
    this->left = length.value_or(0);
    this->part = this->left == 0 ? ChunkPart::Trailer : ChunkPart::Data;
}

void BodyDecoder::finishLine()
{
    const bool isEmpty = this->line == "\r\n";
    if (this->part == ChunkPart::Size)
        this->startChunk();
    else if (this->part == ChunkPart::DataEnd) {
        this->broken = !isEmpty;
        this->part = ChunkPart::Size;
    } else if (isEmpty)
        this->part = ChunkPart::Done;
    this->line.clear();
}

std::size_t BodyDecoder::feedChunked(std::string_view bytes, std::string& body)
{
    std::size_t used = 0;
    while (used < bytes.size() && this->part != ChunkPart::Done && !this->broken) {
        if (this->part == ChunkPart::Data) {
            used += this->feedLength(bytes.substr(used), body);
            if (this->left == 0)
                this->part = ChunkPart::DataEnd;
            continue;
        }
        if (this->takeLine(bytes, used))
            this->finishLine();
    }
    return used;
}

void BodyDecoder::end() { this->ended = true; }

bool BodyDecoder::isDone() const
{
    if (this->framing.kind == BodyKind::Length)
        return this->left == 0;
    if (this->framing.kind == BodyKind::Chunked)
        return this->part == ChunkPart::Done;
    return this->ended;
}

}
