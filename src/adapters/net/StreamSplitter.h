#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace teaselfold {

/** More bytes are needed for the next piece. */
struct PieceIncomplete { };

/** The next piece is larger than the connection allows; the stream cannot be read on. */
struct PieceTooLarge { };

/** Cuts the bytes of one connection into the pieces that its reader takes. */
class StreamSplitter {
public:
    virtual ~StreamSplitter() = default;
    /** Adds bytes as they came. */
    virtual void append(std::string_view bytes) = 0;
    /** @return the next whole piece. */
    virtual std::variant<std::string, PieceIncomplete, PieceTooLarge> next() = 0;
    /** Changes the largest piece from the next one on. */
    virtual void setMaximum(std::size_t bytes) = 0;
};

/** Hands bytes on as they came, for readers that keep their own place in the stream. */
class PassingSplitter final : public StreamSplitter {
public:
    void append(std::string_view bytes) override { this->bytes.append(bytes); }
    std::variant<std::string, PieceIncomplete, PieceTooLarge> next() override
    {
        if (this->bytes.empty())
            return PieceIncomplete {};
        return std::exchange(this->bytes, {});
    }
    void setMaximum(std::size_t) override { }

private:
    std::string bytes;
};

}
