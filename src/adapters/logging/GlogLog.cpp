#include "adapters/logging/GlogLog.h"

#include "ports/Time.h"

#include <glog/logging.h>
#include <unistd.h>

#include <array>
#include <ctime>

namespace teaselfold {

namespace {

    constexpr std::string_view unquotedCharacters
        = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/+-@,";
    constexpr std::string_view hexDigits = "0123456789abcdef";

    bool isControl(char character)
    {
        const auto code = static_cast<unsigned char>(character);
        return code < 0x20 || code == 0x7f;
    }

    void appendEscaped(std::string& line, char character)
    {
        if (isControl(character)) {
            const auto code = static_cast<unsigned char>(character);
            line += "\\x";
            line += hexDigits[code / 16];
            line += hexDigits[code % 16];
            return;
        }
        if (character == '"' || character == '\\')
            line += '\\';
        line += character;
    }

    void appendValue(std::string& line, const std::string& value)
    {
        if (!value.empty() && value.find_first_not_of(unquotedCharacters) == std::string::npos) {
            line += value;
            return;
        }
        line += '"';
        for (const char character : value)
            appendEscaped(line, character);
        line += '"';
    }

    void appendKey(std::string& line, const std::string& key)
    {
        for (const char character : key) {
            const bool isUnquoted = unquotedCharacters.find(character) != std::string_view::npos;
            line += isUnquoted ? character : '_';
        }
    }

    /** @return the wall-clock time in UTC, such as 2026-01-31T07:15:03.250Z. */
    std::string formatCurrentTime()
    {
        const auto now = std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
        const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> text {};
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
        const auto fraction = std::to_string((now.time_since_epoch() % Seconds(1)).count());
        return text.data() + std::string(3 - fraction.size(), '0') + fraction + "Z";
    }

    /** Passes one message of glog to a line writer. */
    class LineSink final : public google::LogSink {
    public:
        explicit LineSink(LineWriter& lines)
            : lines(lines)
        {
        }

        void send(google::LogSeverity, const char*, const char*, int, const google::LogMessageTime&,
            const char* message, std::size_t length) override
        {
            this->written = this->lines.write(std::string(message, length) + '\n');
        }

        bool isWritten() const { return this->written; }

    private:
        LineWriter& lines;
        bool written { false };
    };

}

void startLogging(const std::string& program)
{
    // glog stores the pointer, so the name must outlive the call.
    static const std::string name = program;
    google::InitGoogleLogging(name.c_str());
}

std::string formatLogLine(const LogEvent& event)
{
    std::string line = "event=";
    appendKey(line, event.name);
    for (const LogField& field : event.fields) {
        line += ' ';
        appendKey(line, field.key);
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

GlogLog::GlogLog()
    : lines(STDOUT_FILENO)
{
}

bool GlogLog::write(const LogEvent& event)
{
    LineSink sink(this->lines);
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&sink, INFO) << formatLogLine(event) << " time=" << formatCurrentTime();
    return sink.isWritten();
}

}
