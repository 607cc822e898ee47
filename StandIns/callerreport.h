#pragma once

#include "callresult.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sesame {

/*!
    Collects the results of all requests. Thread-safe.
*/
class CallerReport
{
public:
    void add(const CallResult &result);

    /*!
        Returns the report of a run that took \a seconds, as JSON or as lines of text.
    */
    std::string format(double seconds, bool json);

    std::uint64_t wrongAnswerCount();
    std::uint64_t incompleteCount();

private:
    std::string formatJson(double seconds);
    std::string formatText(double seconds);

    std::mutex m_mutex;
    std::uint64_t m_requests = 0;
    std::uint64_t m_wrongAnswers = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_resumes = 0;
    std::uint64_t m_resends = 0;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<int, std::uint64_t> m_codes;
    std::vector<float> m_firstTokenMillis; //!< For application calls, the time to the answer.
    std::vector<float> m_gapMillis;
};

} // namespace sesame
