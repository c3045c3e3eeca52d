#pragma once

#include "Common/Clock.h"
#include "Observe/LogStory.h"

#include <string>
#include <vector>

namespace CommandLine {

std::string encodeQueryBody(const std::string& text, Common::Milliseconds deadline);
// Whether an answer to a query covers all.
bool isComplete(const std::string& body);

// Print answers of the API for people.
void printPlain(const std::string& body);
void printList(const std::string& body);
void printStatus(const std::string& body);
void printAnswer(const std::string& body);
void printTimeline(const std::string& body);

// Prints the lines of a request in their order, and its cause.
void printReport(const std::vector<Observe::LogLine>&);

} // namespace CommandLine
