#pragma once

#include "Common/Error.h"

// Boost.Asio, which the next header includes, needs <utility> but does not include it.
#include <utility>

#include <cpprest/json.h>

#include <cstdint>
#include <string>
#include <vector>

// Checked decoding of JSON objects. Only the codecs of HTTP messages include this header.
namespace Json {

using Value = web::json::value;

// The first decoding error; empty if there was none.
struct Problem {
    std::string text;
};

// Reads the fields of one object and records the first invalid one. Readers of nested objects share the Problem. The
// value must outlive all readers.
class Reader {
public:
    Reader(const Value&, std::string path, Problem&);

    bool has(const std::string& field);
    std::string text(const std::string& field);
    std::string text(const std::string& field, const std::string& fallback);
    double number(const std::string& field);
    double number(const std::string& field, double fallback);
    uint64_t integer(const std::string& field, uint64_t limit = UINT64_MAX);
    uint64_t integer(const std::string& field, uint64_t fallback, uint64_t limit);
    bool flag(const std::string& field, bool fallback);
    Reader object(const std::string& field);
    std::vector<Reader> objects(const std::string& field);
    // The same for objects with values that must not appear in error messages.
    std::vector<Reader> secretObjects(const std::string& field);
    std::vector<std::string> texts(const std::string& field);
    // The same for values that must not appear in error messages.
    std::vector<std::string> secretTexts(const std::string& field);
    std::vector<uint64_t> integers(const std::string& field, uint64_t limit);
    // Reports fields that have not been read.
    void rejectUnknownFields();
    void reportProblem(const std::string& field, const std::string& found, const std::string& expected);

private:
    const Value* find(const std::string& field);
    std::string quote(const Value&) const;
    uint64_t toInteger(const Value&, const std::string& field, uint64_t limit);

    const Value* m_value;
    std::string m_path;
    Problem* m_problem;
    std::vector<std::string> m_requestedFields;
    bool m_isSecret { false }; // Errors don't quote values.
};

// Parses an object. Errors carry the given reason and step.
Common::Result<Value> parseObject(const std::string& text, Common::Reason, const std::string& step);
// Returns an error if a problem was reported.
Common::Result<void> check(const Problem&, Common::Reason, const std::string& step);

} // namespace Json
