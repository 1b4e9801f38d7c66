#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <map>
#include <ostream>
#include <string>
#include <utility>

namespace teaselfold::Ctl {

/** Maps the kind and id of an object to its net change: "added", "changed" or "withdrawn". */
using NetChanges = std::map<std::pair<std::string, std::string>, std::string>;

/** @return the net changes of consecutive notes; objects that were added and then withdrawn are left out. */
NetChanges summarizeChanges(const Poco::JSON::Array& notes);

void printChanges(const NetChanges& changes, std::ostream& out);
void printHistory(const Poco::JSON::Array& notes, std::ostream& out);
void printStatus(const Poco::JSON::Object& status, std::ostream& out);
void printSuspects(const Poco::JSON::Object& reply, std::ostream& out);
/** Prints the audit log of operator actions with timestamps in UTC. */
void printAuditLog(const Poco::JSON::Array& records, std::ostream& out);
/** Prints the error of a reply, the validation problems and the order that took precedence, if any. */
void printError(const Poco::JSON::Object& reply, std::ostream& out);

}
