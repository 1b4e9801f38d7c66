#include "adapters/net/BodyDecoder.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace teaselfold {

namespace {

    constexpr std::size_t maxLineBytes = 1024;
    /** Limit on the chunk extensions and trailers of one body. */
    constexpr std::size_t maxOverheadBytes = 65536;
    constexpr int hexBase = 16;
    constexpr int decimalBase = 10;
    constexpr std::uint64_t maxChunkBytes = std::uint64_t { 1 } << 40;
    constexpr std::uint16_t statusNoContent = 204;
    constexpr std::uint16_t statusNotModified = 304;

    std::optional<std::uint64_t> parseUnsigned(std::string_view text, int base)
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

    /** @return the framing declared by the header fields; nothing when none is declared. */
    std::variant<std::optional<BodyFraming>, HeadFault> declaredFraming(const std::vector<HeaderField>& fields)
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
        const auto length = parseUnsigned(*findField(fields, "content-length"), decimalBase);
        if (!length)
            return HeadFault { 400, "malformed length" };
        return BodyFraming { BodyKind::Length, *length };
    }

}

std::variant<BodyFraming, HeadFault> requestFraming(const RequestHead& head)
{
    const auto declared = declaredFraming(head.fields);
    if (const auto* fault = std::get_if<HeadFault>(&declared))
        return *fault;
    const auto framing = std::get_if<std::optional<BodyFraming>>(&declared)->value_or(BodyFraming {});
    if (head.isHttp10 && framing.kind == BodyKind::Chunked)
        return HeadFault { 400, "chunks in HTTP/1.0" };
    return framing;
}

std::variant<BodyFraming, HeadFault> responseFraming(const ResponseHead& head)
{
    if (head.status == statusNoContent || head.status == statusNotModified)
        return BodyFraming {};
    const auto declared = declaredFraming(head.fields);
    if (const auto* fault = std::get_if<HeadFault>(&declared))
        return *fault;
    return std::get_if<std::optional<BodyFraming>>(&declared)->value_or(BodyFraming { BodyKind::UntilClose, 0 });
}

std::size_t BodyDecoder::feed(std::string_view bytes, std::string& body)
{
    if (this->framing.kind == BodyKind::Length)
        return this->feedFixedLength(bytes, body);
    if (this->framing.kind == BodyKind::Chunked)
        return this->feedChunked(bytes, body);
    body.append(bytes);
    return bytes.size();
}

std::size_t BodyDecoder::feedFixedLength(std::string_view bytes, std::string& body)
{
    const std::size_t count = std::min<std::uint64_t>(this->bytesLeft, bytes.size());
    body.append(bytes.substr(0, count));
    this->bytesLeft -= count;
    return count;
}

bool BodyDecoder::readLine(std::string_view bytes, std::size_t& used)
{
    const std::size_t end = bytes.find('\n', used);
    const std::size_t stop = end == std::string_view::npos ? bytes.size() : end + 1;
    this->line.append(bytes.substr(used, stop - used));
    used = stop;
    this->malformed = this->line.size() > maxLineBytes;
    if (end == std::string_view::npos || this->malformed)
        return false;
    this->malformed = !this->line.ends_with("\r\n");
    return !this->malformed;
}

void BodyDecoder::processChunkSize()
{
    std::string_view size = std::string_view(this->line).substr(0, this->line.size() - 2);
    const std::size_t sizeEnd = std::min(size.find(';'), size.size());
    this->overheadBytes += size.size() - sizeEnd;
    size = size.substr(0, sizeEnd);
    const auto length = parseUnsigned(size, hexBase);
    this->malformed = !length || *length > maxChunkBytes || this->overheadBytes > maxOverheadBytes;
    this->bytesLeft = length.value_or(0);
    this->chunkState = this->bytesLeft == 0 ? ChunkState::Trailer : ChunkState::Data;
}

void BodyDecoder::processLine()
{
    const bool isEmpty = this->line == "\r\n";
    if (this->chunkState == ChunkState::Size)
        this->processChunkSize();
    else if (this->chunkState == ChunkState::DataEnd) {
        this->malformed = !isEmpty;
        this->chunkState = ChunkState::Size;
    } else if (isEmpty)
        this->chunkState = ChunkState::Done;
    else {
        this->overheadBytes += this->line.size();
        this->malformed = this->overheadBytes > maxOverheadBytes;
    }
    this->line.clear();
}

std::size_t BodyDecoder::feedChunked(std::string_view bytes, std::string& body)
{
    std::size_t used = 0;
    while (used < bytes.size() && this->chunkState != ChunkState::Done && !this->malformed) {
        if (this->chunkState == ChunkState::Data) {
            used += this->feedFixedLength(bytes.substr(used), body);
            if (this->bytesLeft == 0)
                this->chunkState = ChunkState::DataEnd;
            continue;
        }
        if (this->readLine(bytes, used))
            this->processLine();
    }
    return used;
}

void BodyDecoder::connectionClosed() { this->isClosed = true; }

bool BodyDecoder::isComplete() const
{
    if (this->framing.kind == BodyKind::Length)
        return this->bytesLeft == 0;
    if (this->framing.kind == BodyKind::Chunked)
        return this->chunkState == ChunkState::Done;
    return this->isClosed;
}

}
