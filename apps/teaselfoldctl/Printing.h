#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <map>
#include <ostream>
#include <string>
#include <utility>

namespace teaselfold::Ctl {

/** Kind and id of an object with what happened to it: "added", "changed" or "withdrawn". */
using NetChanges = std::map<std::pair<std::string, std::string>, std::string>;

/** @return what a row of notes did in all; what was added and withdrawn again is left out. */
NetChanges summarize(const Poco::JSON::Array& notes);

void printChanges(const NetChanges& changes, std::ostream& out);
void printHistory(const Poco::JSON::Array& notes, std::ostream& out);
void printStatus(const Poco::JSON::Object& status, std::ostream& out);
void printSuspects(const Poco::JSON::Object& answer, std::ostream& out);
/** Prints operators' acts with their times in UTC. */
void printActs(const Poco::JSON::Array& acts, std::ostream& out);
/** Prints the error of an answer with all that it lists. */
void printError(const Poco::JSON::Object& answer, std::ostream& out);

}
