#pragma once

#include "Common/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Settings {

// What is wrong at one place of a YAML text.
struct Problem {
    std::string file;
    int line { 0 };
    std::string field; // Dotted path from the root, "peer.listen".
    std::string found;
    std::string expected;
};

// "FILE:LINE: field NAME is FOUND, expected EXPECTED".
std::string describe(const Problem&);

// A map of a YAML document while it is read. Each reader function returns the value or, with a problem noted, a
// default; rejectUnknownFields() notes each field that nobody asked for.
class Section {
public:
    // A Section over the whole document. Problems of all sections made from it are collected together.
    static Common::Result<Section> parse(const std::string& file, const std::string& text);
    static Common::Result<Section> load(const std::string& file);
    // The documents of a stream parted by "---" lines.
    static Common::Result<std::vector<Section>> parseAll(const std::string& file, const std::string& text);

    bool has(const std::string& field) const;
    std::string text(const std::string& field);
    std::string text(const std::string& field, const std::string& fallback);
    std::vector<std::string> texts(const std::string& field);
    double number(const std::string& field, double fallback, double low, double high);
    int64_t integer(const std::string& field, int64_t fallback, int64_t low, int64_t high);
    bool flag(const std::string& field, bool fallback);
    Section section(const std::string& field);
    std::vector<Section> sections(const std::string& field);
    void rejectUnknownFields();

    // Notes a problem at a field of this section.
    void reportProblem(const std::string& field, const std::string& found, const std::string& expected);
    const std::vector<Problem>& problems() const;
    // InvalidInput with a line for each problem, or nothing.
    Common::Result<void> result() const;

private:
    struct Private;
    explicit Section(std::shared_ptr<Private>);
    std::shared_ptr<Private> m_private;
};

} // namespace Settings
