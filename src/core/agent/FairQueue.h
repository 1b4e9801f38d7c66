#pragma once

#include "ports/Fleet.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace teaselfold {

/** A queued generation or call. */
struct QueueItem {
    GenerationId id;
    TeamId team;
    PriorityClass priority { PriorityClass::Standard };
    /** Expected work, in tokens or calls. */
    std::uint32_t cost { 1 };
    bool operator==(const QueueItem&) const = default;
};

/**
 * Deficit round robin over the teams of each priority class. Classes are served in strict order, except for starved
 * ones. The queue itself is unbounded; its owner checks size, classSize and teamSize against the limits. Source:
 * Shreedhar and Varghese, "Efficient Fair Queuing using Deficit Round Robin", 1995.
 */
class FairQueue {
public:
    /** @param quantum cost that a team of weight 1 may use in each round. */
    explicit FairQueue(std::uint32_t quantum)
        : quantum(quantum)
    {
    }

    /** Appends an item to its team's queue. @param weight the team's relative share. */
    void push(const QueueItem& item, std::uint32_t weight);

    /** Returns a dequeued item to the head of its team's queue and refunds its cost. */
    void pushFront(const QueueItem& item, std::uint32_t weight);

    /** @return the next item in regular order; the same one until the queue changes. */
    std::optional<QueueItem> front();

    /** Removes the item that front returned. */
    void pop();

    /**
     * Strict order alone could starve a lower class, so a class counts as starved after enough items of higher classes
     * went first.
     * @return the next item of the lowest starved class; nothing when no class is starved.
     */
    std::optional<QueueItem> nextStarved();

    /** Removes an item that front or nextStarved returned. */
    void dequeue(const QueueItem& item);

    /** Removes an item from any position. @return false when it is not queued. */
    bool remove(const QueueItem& item);

    std::size_t size() const { return this->itemCount; }
    /** @return number of queued items of one team in one class. */
    std::size_t teamSize(const TeamId& team, PriorityClass priority) const;
    /** @return number of queued items of one class. */
    std::size_t classSize(PriorityClass priority) const
    {
        return this->classes[static_cast<std::size_t>(priority)].itemCount;
    }
    /** @return number of queued items of this class and all higher ones. */
    std::size_t sizeUpTo(PriorityClass priority) const;

private:
    struct TeamQueue {
        std::deque<QueueItem> items;
        std::uint32_t weight { 1 };
        std::uint64_t deficit { 0 };
    };
    struct ClassQueue {
        std::map<TeamId, TeamQueue> teams;
        /** Teams with queued items, in round-robin order. */
        std::deque<TeamId> activeTeams;
        std::size_t itemCount { 0 };
        /** Items of higher classes dequeued since this class was last served. */
        std::uint32_t higherServed { 0 };
    };

    static std::optional<QueueItem> frontOf(ClassQueue& classQueue, std::uint32_t quantum);
    /** Counts a new item. @return its team's queue, created if missing. */
    TeamQueue& reserveSlot(const QueueItem& item, std::uint32_t weight);
    void removeIfEmpty(ClassQueue& classQueue, const TeamId& team);

    std::uint32_t quantum;
    std::array<ClassQueue, priorityClassCount> classes;
    std::size_t itemCount { 0 };
};

}
