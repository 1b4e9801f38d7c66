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
 * Deficit round robin over teams inside each priority class; classes in strict order, but for what is overdue. Bounded
 * by its owner through size and teamSize. Source: Shreedhar and Varghese, "Efficient Fair Queuing using Deficit Round
 * Robin", 1995.
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

    /**
     * Classes in strict order would let a lower one wait for ever. One that was passed over often enough is due.
     * @return the next item of the lowest class that is due; nothing when none is.
     */
    std::optional<QueueItem> nextStarved();

    /** Takes an item that front or overdue returned. */
    void dequeue(const QueueItem& item);

    /** Removes an item wherever it waits. @return false when it does not wait. */
    bool remove(const QueueItem& item);

    std::size_t size() const { return this->items; }
    /** @return items of one team that wait in one class. */
    std::size_t teamSize(const TeamId& team, PriorityClass priority) const;
    /** @return items that wait in one class. */
    std::size_t classSize(PriorityClass priority) const
    {
        return this->classes[static_cast<std::size_t>(priority)].items;
    }
    /** @return items that are served before a new one of this class, at most. */
    std::size_t sizeUpTo(PriorityClass priority) const;

private:
    struct TeamQueue {
        std::deque<QueueItem> items;
        std::uint32_t weight { 1 };
        std::uint64_t deficit { 0 };
    };
    struct ClassQueue {
        std::map<TeamId, TeamQueue> teams;
        std::deque<TeamId> activeTeams;
        std::size_t items { 0 };
        /** Items of higher classes taken since this class had its last turn. */
        std::uint32_t higherServed { 0 };
    };

    static std::optional<QueueItem> frontOf(ClassQueue& classQueue, std::uint32_t quantum);
    TeamQueue& reserveSlot(const QueueItem& item, std::uint32_t weight);
    void removeIfEmpty(ClassQueue& classQueue, const TeamId& team);

    std::uint32_t quantum;
    std::array<ClassQueue, priorityClassCount> classes;
    std::size_t items { 0 };
};

}
