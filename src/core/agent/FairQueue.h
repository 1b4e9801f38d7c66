#pragma once

#include "ports/Fleet.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

/** Work that waits, by id. */
struct QueueItem {
    GenerationId id;
    TeamId team;
    PriorityClass priority { PriorityClass::Standard };
    /** Expected work, in tokens or calls. */
    std::uint32_t cost { 1 };
    bool operator==(const QueueItem&) const = default;
};

/**
 * Deficit round robin over teams inside each priority class; classes in strict order. Bounded by its owner through
 * size and teamSize. Source: Shreedhar and Varghese, "Efficient Fair Queuing using Deficit Round Robin", 1995.
 */
class FairQueue {
public:
    /** @param quantum cost that a team of weight 1 may use in one round. */
    explicit FairQueue(std::uint32_t quantum)
        : quantum(quantum)
    {
    }

    /** Adds an item at the end of its team's line. @param weight the team's share. */
    void push(const QueueItem& item, std::uint32_t weight);

    /** Puts an item that was taken back at the head of its team's line. */
    void pushFront(const QueueItem& item, std::uint32_t weight);

    /** @return the item that is next in turn; the same one until it is popped or removed. */
    std::optional<QueueItem> front();

    /** Takes the item that front returned. */
    void pop();

    /** Removes an item wherever it waits. @return false when it does not wait. */
    bool remove(const QueueItem& item);

    std::size_t size() const { return this->items; }
    std::size_t teamSize(const TeamId& team) const;
    /** @return items that are served before a new one of this class, at most. */
    std::size_t sizeUpTo(PriorityClass priority) const;

private:
    struct Line {
        std::deque<QueueItem> items;
        std::uint32_t weight { 1 };
        std::uint64_t deficit { 0 };
    };
    struct Class {
        std::map<TeamId, Line> lines;
        std::deque<TeamId> round;
        std::size_t items { 0 };
    };

    Line& lineOf(const QueueItem& item, std::uint32_t weight);
    void retireIfEmpty(Class& lane, const TeamId& team);

    std::uint32_t quantum;
    std::array<Class, priorityClassCount> classes;
    std::size_t items { 0 };
};

}
