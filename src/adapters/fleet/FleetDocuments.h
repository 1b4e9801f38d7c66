#pragma once

#include "adapters/fleet/DocumentReader.h"

#include <Poco/JSON/Object.h>

namespace teaselfold::Internal {

// Readers and writers of the fleet's objects. Each reader accepts the output of the writer of the same type.

void readObject(DocumentReader& reader, Zone& zone);
void readObject(DocumentReader& reader, Service& service);
void readObject(DocumentReader& reader, Model& model);
void readObject(DocumentReader& reader, Endpoint& endpoint);
void readObject(DocumentReader& reader, Team& team);

Poco::JSON::Object::Ptr writeObject(const Zone& zone);
Poco::JSON::Object::Ptr writeObject(const Service& service);
Poco::JSON::Object::Ptr writeObject(const Model& model);
Poco::JSON::Object::Ptr writeObject(const Endpoint& endpoint);
Poco::JSON::Object::Ptr writeObject(const Team& team);

/** @return the JSON form of a whole fleet. */
Poco::JSON::Object::Ptr writeFleet(const Fleet& fleet);
/** @return the JSON form of a note. */
Poco::JSON::Object::Ptr writeNote(const ReleaseNote& note);
/** @return the JSON form of a service order. */
Poco::JSON::Object::Ptr writeOrder(const ServiceOrder& order);
/** @return the JSON form of an audit record, with the time in milliseconds since the Unix epoch. */
Poco::JSON::Object::Ptr writeAuditRecord(const AuditRecord& record);

Fleet readFleet(DocumentReader& reader);
ReleaseNote readNote(DocumentReader& reader);
ServiceOrder readOrder(DocumentReader& reader);
AuditRecord readAuditRecord(DocumentReader& reader);

}
