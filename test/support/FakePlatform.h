#pragma once

#include "ports/PlatformMessages.h"
#include "support/Scheduler.h"

#include <functional>
#include <map>
#include <string>

namespace teaselfold::testing {

/** A simulated platform: table, object store and instance list, with fault modes. */
class FakePlatform {
public:
    enum class Mode {
        Up,
        /** No operation is executed; callers time out. */
        Down,
        /** Operations are executed but their replies are lost; callers time out. */
        LoseAnswers,
        /** Callers time out; the operation is executed long after that. */
        Slow,
    };

    explicit FakePlatform(Scheduler& scheduler)
        : scheduler(scheduler)
    {
    }

    void setMode(Mode mode) { this->mode = mode; }
    void setLeaving(const std::string& instance, bool leaving) { this->instances[instance] = leaving; }

    /** Starts an operation; `reply` is called when it completes or times out. */
    void submit(const PlatformOperation& operation, std::function<void(const PlatformReply&)> reply);

    const std::map<std::string, TableRecord>& rows() const { return this->table; }

private:
    PlatformResult execute(const PlatformRequest& request);
    PlatformResult write(const std::string& key, const std::string& value, std::uint64_t expected);

    static constexpr Milliseconds latency { 2 };
    static constexpr Milliseconds timeout { 500 };
    static constexpr Milliseconds slowLatency { 3000 };

    Scheduler& scheduler;
    Mode mode { Mode::Up };
    std::map<std::string, TableRecord> table;
    std::map<std::string, std::string> objects;
    std::map<std::string, bool> instances;
};

}
