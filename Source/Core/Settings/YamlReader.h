#pragma once

#include "Common/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Settings {

// An invalid field of a YAML document.
struct Problem {
    std::string file;
    int line { 0 };
    std::string field; // Dotted path from the root, such as "peer.listen".
    std::string found;
    std::string expected;
};

// Formats a problem as "FILE:LINE: field NAME is FOUND, expected EXPECTED".
std::string describe(const Problem&);

// Reads a map of a YAML document. Each reading function returns the value of a field; for an invalid value it reports a
// problem and returns a default. rejectUnknownFields() reports each field that no function has read.
class Section {
public:
    // The section of the root map. All sections derived from it share one list of problems.
    static Common::Result<Section> parse(const std::string& file, const std::string& text);
    static Common::Result<Section> load(const std::string& file);
    // The documents of a stream, separated by "---" lines.
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

    // Reports a problem with a field of this section.
    void reportProblem(const std::string& field, const std::string& found, const std::string& expected);
    const std::vector<Problem>& problems() const;
    // Success if there are no problems, otherwise InvalidInput with one line for each problem.
    Common::Result<void> result() const;

private:
    struct Private;
    explicit Section(std::shared_ptr<Private>);
    std::shared_ptr<Private> m_private;
};

} // namespace Settings
