#include "Json/Reader.h"

#include <algorithm>
#include <cmath>

namespace Json {

namespace {

    const Value nothing = Value::object();
    constexpr size_t maximumQuoteLength = 60;

    // Lists and objects are not quoted: they may contain values that must not appear in error messages.
    std::string quoteValue(const Value& value)
    {
        if (value.is_object() || value.is_array())
            return value.is_object() ? "an object" : "a list";
        std::string text = value.serialize();
        if (text.size() > maximumQuoteLength)
            text = text.substr(0, maximumQuoteLength) + "...";
        return text;
    }

} // namespace

Reader::Reader(const Value& value, std::string path, Problem& problem)
    : m_value(&value)
    , m_path(std::move(path))
    , m_problem(&problem)
{
}

const Value* Reader::find(const std::string& field)
{
    m_requestedFields.push_back(field);
    if (!m_value->is_object())
        return nullptr;
    const auto& object = m_value->as_object();
    auto it = object.find(field);
    return it == object.end() || it->second.is_null() ? nullptr : &it->second;
}

void Reader::reportProblem(const std::string& field, const std::string& found, const std::string& expected)
{
    if (!m_problem->text.empty())
        return;
    std::string name = m_path.empty() ? field : m_path + "." + field;
    m_problem->text = "field " + name + " is " + found + ", expected " + expected;
}

std::string Reader::quote(const Value& value) const { return m_isSecret ? "invalid" : quoteValue(value); }

bool Reader::has(const std::string& field) { return find(field); }

std::string Reader::text(const std::string& field)
{
    if (!has(field)) {
        reportProblem(field, "absent", "a text");
        return {};
    }
    return text(field, std::string());
}

std::string Reader::text(const std::string& field, const std::string& fallback)
{
    const Value* value = find(field);
    if (!value)
        return fallback;
    if (value->is_string())
        return value->as_string();
    reportProblem(field, quote(*value), "a text");
    return fallback;
}

double Reader::number(const std::string& field)
{
    if (!has(field))
        reportProblem(field, "absent", "a number");
    return number(field, 0);
}

double Reader::number(const std::string& field, double fallback)
{
    const Value* value = find(field);
    if (!value)
        return fallback;
    if (value->is_number())
        return value->as_double();
    reportProblem(field, quote(*value), "a number");
    return fallback;
}

uint64_t Reader::toInteger(const Value& value, const std::string& field, uint64_t limit)
{
    if (value.is_number() && value.as_number().is_uint64() && value.as_number().to_uint64() <= limit)
        return value.as_number().to_uint64();
    reportProblem(field, quote(value), "a whole number from 0 to " + std::to_string(limit));
    return 0;
}

uint64_t Reader::integer(const std::string& field, uint64_t limit)
{
    const Value* value = find(field);
    if (value)
        return toInteger(*value, field, limit);
    reportProblem(field, "absent", "a whole number");
    return 0;
}

uint64_t Reader::integer(const std::string& field, uint64_t fallback, uint64_t limit)
{
    const Value* value = find(field);
    return value ? toInteger(*value, field, limit) : fallback;
}

bool Reader::flag(const std::string& field, bool fallback)
{
    const Value* value = find(field);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->as_bool();
    reportProblem(field, quote(*value), "true or false");
    return fallback;
}

Reader Reader::object(const std::string& field)
{
    const Value* value = find(field);
    bool isObject = value && value->is_object();
    if (value && !isObject)
        reportProblem(field, quote(*value), "an object");
    Reader reader(isObject ? *value : nothing, m_path.empty() ? field : m_path + "." + field, *m_problem);
    reader.m_isSecret = m_isSecret;
    return reader;
}

std::vector<Reader> Reader::objects(const std::string& field)
{
    std::vector<Reader> readers;
    const Value* value = find(field);
    if (!value)
        return readers;
    if (!value->is_array()) {
        reportProblem(field, quote(*value), "a list");
        return readers;
    }
    size_t i = 0;
    for (const Value& item : value->as_array()) {
        std::string name = field + "[" + std::to_string(i++) + "]";
        if (!item.is_object())
            reportProblem(name, quote(item), "an object");
        readers.emplace_back(item, m_path.empty() ? name : m_path + "." + name, *m_problem);
        readers.back().m_isSecret = m_isSecret;
    }
    return readers;
}

std::vector<Reader> Reader::secretObjects(const std::string& field)
{
    m_requestedFields.push_back(field);
    Reader secret(*this);
    secret.m_isSecret = true;
    return secret.objects(field);
}

std::vector<std::string> Reader::texts(const std::string& field)
{
    std::vector<std::string> values;
    const Value* value = find(field);
    if (!value)
        return values;
    if (!value->is_array()) {
        reportProblem(field, quote(*value), "a list");
        return values;
    }
    for (const Value& item : value->as_array()) {
        if (item.is_string())
            values.push_back(item.as_string());
        else
            reportProblem(field, quote(item), "texts");
    }
    return values;
}

std::vector<std::string> Reader::secretTexts(const std::string& field)
{
    const Value* value = find(field);
    bool isList = value && value->is_array();
    bool isListOfTexts = isList
        && std::all_of(
            value->as_array().begin(), value->as_array().end(), [](const Value& item) { return item.is_string(); });
    if (value && !isListOfTexts) {
        reportProblem(field, "of another type", "a list of texts");
        return {};
    }
    return texts(field);
}

std::vector<uint64_t> Reader::integers(const std::string& field, uint64_t limit)
{
    std::vector<uint64_t> values;
    const Value* value = find(field);
    if (!value)
        return values;
    if (!value->is_array()) {
        reportProblem(field, quote(*value), "a list of whole numbers");
        return values;
    }
    for (const Value& item : value->as_array())
        values.push_back(toInteger(item, field, limit));
    return values;
}

void Reader::rejectUnknownFields()
{
    if (!m_value->is_object())
        return;
    for (const auto& [name, value] : m_value->as_object()) {
        if (std::find(m_requestedFields.begin(), m_requestedFields.end(), name) == m_requestedFields.end())
            reportProblem(name, "not a known field", "one that docs/OPERATIONS.md lists");
    }
}

Common::Result<Value> parseObject(const std::string& text, Common::Reason reason, const std::string& step)
{
    try {
        Value value = Value::parse(text);
        if (value.is_object())
            return value;
        return Common::makeError(reason, step,
            std::string("the body is ") + (value.is_array() ? "a list" : "a single value")
                + ", expected a JSON object");
    } catch (const std::exception& e) {
        return Common::makeError(reason, step, std::string("the body is not JSON: ") + e.what());
    }
}

Common::Result<void> check(const Problem& problem, Common::Reason reason, const std::string& step)
{
    if (problem.text.empty())
        return Common::success();
    return Common::makeError(reason, step, problem.text);
}

} // namespace Json
