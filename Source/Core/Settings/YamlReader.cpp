#include "Settings/YamlReader.h"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

using Common::Reason;
using Common::Result;

namespace Settings {

struct Section::Private {
    std::string file;
    std::string path;
    YAML::Node node;
    std::set<std::string> readFields;
    std::shared_ptr<std::vector<Problem>> problems;

    YAML::Node child(const std::string& field);
    std::shared_ptr<Private> childSection(const std::string& field, const YAML::Node& node) const;
    void reportProblem(const std::string& field, int line, const std::string& found, const std::string& expected) const;
    template <typename T> T scalar(const std::string& field, const T& fallback, const std::string& expected);
};

namespace {

    int lineOf(const YAML::Node& node) { return node.IsDefined() ? node.Mark().line + 1 : 1; }

    std::string describeNode(const YAML::Node& node)
    {
        if (!node.IsDefined() || node.IsNull())
            return "absent";
        if (node.IsScalar())
            return "'" + node.Scalar() + "'";
        return node.IsMap() ? "a map" : "a list";
    }

    std::string describeRange(const std::string& low, const std::string& high)
    {
        return "a number from " + low + " to " + high;
    }

    std::string formatNumber(double value)
    {
        std::ostringstream out;
        out << value;
        return out.str();
    }

    Common::Error syntaxError(const std::string& file, const YAML::Exception& e)
    {
        return Common::makeError(
            Reason::InvalidInput, "read-yaml", file + ":" + std::to_string(e.mark.line + 1) + ": not YAML: " + e.msg);
    }

} // namespace

YAML::Node Section::Private::child(const std::string& field)
{
    readFields.insert(field);
    if (!node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    const YAML::Node& readOnly = node;
    return readOnly[field];
}

std::shared_ptr<Section::Private> Section::Private::childSection(
    const std::string& field, const YAML::Node& child) const
{
    auto p = std::make_shared<Private>();
    p->file = file;
    p->path = path.empty() ? field : path + "." + field;
    if (child.IsDefined())
        p->node.reset(child);
    p->problems = problems;
    return p;
}

void Section::Private::reportProblem(
    const std::string& field, int line, const std::string& found, const std::string& expected) const
{
    problems->push_back({ file, line, path.empty() ? field : path + "." + field, found, expected });
}

template <typename T>
T Section::Private::scalar(const std::string& field, const T& fallback, const std::string& expected)
{
    YAML::Node value = child(field);
    if (!value.IsDefined())
        return fallback;
    try {
        if (value.IsScalar())
            return value.as<T>();
    } catch (const YAML::Exception&) {
        // Reported below, like any other value of the wrong type.
    }
    reportProblem(field, lineOf(value), describeNode(value), expected);
    return fallback;
}

std::string describe(const Problem& problem)
{
    return problem.file + ":" + std::to_string(problem.line) + ": field " + problem.field + " is " + problem.found
        + ", expected " + problem.expected;
}

Section::Section(std::shared_ptr<Private> p)
    : m_private(std::move(p))
{
}

Result<std::vector<Section>> Section::parseAll(const std::string& file, const std::string& text)
{
    std::vector<Section> sections;
    try {
        for (const YAML::Node& node : YAML::LoadAll(text)) {
            if (node.IsNull())
                continue;
            auto p = std::make_shared<Private>();
            p->file = file;
            p->node = node;
            p->problems = std::make_shared<std::vector<Problem>>();
            if (!node.IsMap())
                p->reportProblem("document", lineOf(node), describeNode(node), "a map of fields");
            sections.push_back(Section(p));
        }
    } catch (const YAML::Exception& e) {
        return syntaxError(file, e);
    }
    return sections;
}

Result<Section> Section::parse(const std::string& file, const std::string& text)
{
    BOOST_OUTCOME_TRY(sections, parseAll(file, text));
    if (sections.size() != 1)
        return Common::makeError(Reason::InvalidInput, "read-yaml",
            file + ": found " + std::to_string(sections.size()) + " documents, expected 1");
    return sections.front();
}

Result<Section> Section::load(const std::string& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
        return Common::makeError(Reason::NotFound, "read-yaml", file + ": cannot be read");
    return parse(file, text.str());
}

bool Section::has(const std::string& field) const { return m_private->child(field).IsDefined(); }

std::string Section::text(const std::string& field)
{
    if (!has(field)) {
        reportProblem(field, "absent", "a text");
        return {};
    }
    return text(field, {});
}

std::string Section::text(const std::string& field, const std::string& fallback)
{
    return m_private->scalar<std::string>(field, fallback, "a text");
}

std::vector<std::string> Section::texts(const std::string& field)
{
    std::vector<std::string> values;
    YAML::Node list = m_private->child(field);
    if (!list.IsDefined())
        return values;
    if (!list.IsSequence()) {
        m_private->reportProblem(field, lineOf(list), describeNode(list), "a list of texts");
        return values;
    }
    for (const YAML::Node& item : list) {
        if (item.IsScalar())
            values.push_back(item.Scalar());
        else
            m_private->reportProblem(field, lineOf(item), describeNode(item), "a text");
    }
    return values;
}

double Section::number(const std::string& field, double fallback, double low, double high)
{
    std::string expected = describeRange(formatNumber(low), formatNumber(high));
    double value = m_private->scalar<double>(field, fallback, expected);
    if (value >= low && value <= high)
        return value;
    YAML::Node node = m_private->child(field);
    m_private->reportProblem(field, lineOf(node), describeNode(node), expected);
    return fallback;
}

int64_t Section::integer(const std::string& field, int64_t fallback, int64_t low, int64_t high)
{
    std::string expected = "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    auto value = m_private->scalar<int64_t>(field, fallback, expected);
    if (value >= low && value <= high)
        return value;
    YAML::Node node = m_private->child(field);
    m_private->reportProblem(field, lineOf(node), describeNode(node), expected);
    return fallback;
}

bool Section::flag(const std::string& field, bool fallback)
{
    return m_private->scalar<bool>(field, fallback, "true or false");
}

Section Section::section(const std::string& field)
{
    YAML::Node node = m_private->child(field);
    if (node.IsDefined() && !node.IsMap())
        m_private->reportProblem(field, lineOf(node), describeNode(node), "a map of fields");
    return Section(m_private->childSection(field, node));
}

std::vector<Section> Section::sections(const std::string& field)
{
    std::vector<Section> sections;
    YAML::Node list = m_private->child(field);
    if (!list.IsDefined())
        return sections;
    if (!list.IsSequence()) {
        m_private->reportProblem(field, lineOf(list), describeNode(list), "a list of maps");
        return sections;
    }
    for (size_t i = 0; i < list.size(); ++i) {
        const YAML::Node& readOnly = list;
        std::string name = field + "[" + std::to_string(i) + "]";
        YAML::Node item = readOnly[i];
        if (!item.IsMap()) {
            m_private->reportProblem(name, lineOf(item), describeNode(item), "a map of fields");
            continue;
        }
        sections.push_back(Section(m_private->childSection(name, item)));
    }
    return sections;
}

void Section::rejectUnknownFields()
{
    if (!m_private->node.IsMap())
        return;
    for (const auto& pair : m_private->node) {
        std::string name = pair.first.IsScalar() ? pair.first.Scalar() : "?";
        if (!m_private->readFields.count(name))
            m_private->reportProblem(
                name, lineOf(pair.first), "not a known field", "one that docs/OPERATIONS.md lists");
    }
}

void Section::reportProblem(const std::string& field, const std::string& found, const std::string& expected)
{
    YAML::Node node = m_private->child(field);
    m_private->reportProblem(field, lineOf(node.IsDefined() ? node : m_private->node), found, expected);
}

const std::vector<Problem>& Section::problems() const { return *m_private->problems; }

Result<void> Section::result() const
{
    if (problems().empty())
        return Common::success();
    std::string lines;
    for (const Problem& problem : problems())
        lines += (lines.empty() ? "" : "\n") + describe(problem);
    return Common::makeError(Reason::InvalidInput, "check", lines);
}

} // namespace Settings
