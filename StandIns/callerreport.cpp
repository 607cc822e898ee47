#include "callerreport.h"

#include "Adapter/json.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace sesame {

namespace {

float quantile(std::vector<float> *values, double probability)
{
    if (values->empty())
        return 0.0F;
    const auto last = static_cast<double>(values->size() - 1);
    const auto it = values->begin() + static_cast<std::ptrdiff_t>(last * probability);
    std::nth_element(values->begin(), it, values->end());
    return *it;
}

json_t *makeQuantiles(std::vector<float> *values)
{
    return json_pack("{s:f,s:f,s:f,s:I}", "p50", static_cast<double>(quantile(values, 0.5)), "p95",
                     static_cast<double>(quantile(values, 0.95)), "max",
                     static_cast<double>(quantile(values, 1.0)), "count",
                     static_cast<json_int_t>(values->size()));
}

void printQuantiles(std::ostream &out, const char *name, std::vector<float> *values)
{
    out << name << ": p50 " << quantile(values, 0.5) << " p95 " << quantile(values, 0.95) << " max "
        << quantile(values, 1.0) << " (" << values->size() << ")\n";
}

} // namespace

void CallerReport::add(const CallResult &result)
{
    const std::scoped_lock lock(m_mutex);
    ++m_requests;
    m_tokens += result.tokens;
    m_resumes += result.resumes;
    m_resends += result.resends;
    ++m_outcomes[result.outcome];
    ++m_codes[result.code];
    if (!result.answerError.empty()) {
        ++m_wrongAnswers;
        std::fprintf(stderr, "wrong answer: %s\n", result.answerError.c_str());
    }
    if (result.firstTokenMillis >= 0.0)
        m_firstTokenMillis.push_back(static_cast<float>(result.firstTokenMillis));
    m_gapMillis.insert(m_gapMillis.end(), result.gapMillis.begin(), result.gapMillis.end());
}

std::string CallerReport::format(double seconds, bool json)
{
    const std::scoped_lock lock(m_mutex);
    return json ? formatJson(seconds) : formatText(seconds);
}

std::uint64_t CallerReport::wrongAnswerCount()
{
    const std::scoped_lock lock(m_mutex);
    return m_wrongAnswers;
}

std::uint64_t CallerReport::incompleteCount()
{
    const std::scoped_lock lock(m_mutex);
    return m_requests - m_outcomes["complete"];
}

std::string CallerReport::formatJson(double seconds)
{
    const JsonPtr outcomes(json_object());
    for (const auto &[name, n] : m_outcomes)
        json_object_set_new(outcomes.get(), name.c_str(), json_integer(static_cast<json_int_t>(n)));
    const JsonPtr codes(json_object());
    for (const auto &[code, n] : m_codes)
        json_object_set_new(codes.get(), std::to_string(code).c_str(),
                            json_integer(static_cast<json_int_t>(n)));
    const JsonPtr report(json_pack(
            "{s:I,s:f,s:I,s:O,s:O,s:I,s:I,s:I,s:f,s:o,s:o}", "requests",
            static_cast<json_int_t>(m_requests), "seconds", seconds, "wrong_answers",
            static_cast<json_int_t>(m_wrongAnswers), "outcomes", outcomes.get(), "codes",
            codes.get(), "resumes", static_cast<json_int_t>(m_resumes), "resends",
            static_cast<json_int_t>(m_resends), "tokens", static_cast<json_int_t>(m_tokens),
            "tokens_per_s", static_cast<double>(m_tokens) / seconds, "first_token_ms",
            makeQuantiles(&m_firstTokenMillis), "gap_ms", makeQuantiles(&m_gapMillis)));
    return dumpJson(report.get()) + "\n";
}

std::string CallerReport::formatText(double seconds)
{
    std::ostringstream out;
    out << "requests: " << m_requests << " in " << seconds << " s\n";
    for (const auto &[name, n] : m_outcomes)
        out << "outcome " << name << ": " << n << "\n";
    for (const auto &[code, n] : m_codes)
        out << "code " << code << ": " << n << "\n";
    out << "wrong answers: " << m_wrongAnswers << "\n"
        << "resumes: " << m_resumes << ", sent again: " << m_resends << "\n"
        << "tokens: " << m_tokens << ", " << static_cast<double>(m_tokens) / seconds << " per s\n";
    printQuantiles(out, "first token ms", &m_firstTokenMillis);
    printQuantiles(out, "gap ms", &m_gapMillis);
    return out.str();
}

} // namespace sesame
