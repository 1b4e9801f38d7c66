#pragma once

#include "ports/Time.h"

#include <functional>
#include <map>

namespace teaselfold::testing {

/** A manual clock with scheduled tasks. Tasks due at the same time run in the order in which they were added. */
class Scheduler {
public:
    Instant now() const { return this->current; }

    void scheduleAfter(Duration delay, std::function<void()> task)
    {
        this->tasks.emplace(this->current + delay, std::move(task));
    }

    /** Runs all tasks due up to and including `until`, also those that they schedule, and sets the clock to `until`. */
    void runUntil(Instant until)
    {
        while (!this->tasks.empty() && this->tasks.begin()->first <= until) {
            auto task = std::move(this->tasks.begin()->second);
            this->current = this->tasks.begin()->first;
            this->tasks.erase(this->tasks.begin());
            task();
        }
        this->current = until;
    }

    Milliseconds elapsed() const { return std::chrono::duration_cast<Milliseconds>(this->current - start); }

    /** Well above zero, so that a core object can subtract a duration from it. */
    static constexpr Instant start { Seconds(1000) };

private:
    Instant current { start };
    std::multimap<Instant, std::function<void()>> tasks;
};

}
