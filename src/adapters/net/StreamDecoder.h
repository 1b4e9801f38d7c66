#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace teaselfold {

/** More bytes are needed for the next message. */
struct MessageIncomplete { };

/** The next message exceeds the limit of the connection; nothing after it can be decoded. */
struct MessageTooLarge { };

/** Splits the byte stream of one connection into messages. */
class StreamDecoder {
public:
    virtual ~StreamDecoder() = default;
    /** Appends received bytes. */
    virtual void append(std::string_view bytes) = 0;
    /** @return the next complete message, or the reason why there is none. */
    virtual std::variant<std::string, MessageIncomplete, MessageTooLarge> next() = 0;
    /** @param bytes size limit that applies from the next message on. */
    virtual void setMaximum(std::size_t bytes) = 0;
};

/** Returns received bytes unchanged, for handlers that do their own framing. */
class PassthroughDecoder final : public StreamDecoder {
public:
    void append(std::string_view bytes) override { this->bytes.append(bytes); }
    std::variant<std::string, MessageIncomplete, MessageTooLarge> next() override
    {
        if (this->bytes.empty())
            return MessageIncomplete {};
        return std::exchange(this->bytes, {});
    }
    void setMaximum(std::size_t) override { }

private:
    std::string bytes;
};

}
