#pragma once

#include "Common/Clock.h"
#include "Observe/RequestReport.h"

#include <string>
#include <vector>

namespace CommandLine {

std::string encodeQueryBody(const std::string& text, Common::Milliseconds deadline);
// Returns whether the answer to a query covers all shards.
bool isComplete(const std::string& body);

// These functions print the JSON body of an API answer as text.
void printPlain(const std::string& body);
void printList(const std::string& body);
void printStatus(const std::string& body);
void printAnswer(const std::string& body);
void printTimeline(const std::string& body);

// Prints the log lines of a request in order, then a summary of its outcome.
void printReport(const std::vector<Observe::LogLine>&);

} // namespace CommandLine
