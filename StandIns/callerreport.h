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
    std::string print(double seconds, bool json);

    std::uint64_t wrongAnswers();
    std::uint64_t incomplete();

private:
    std::string printJson(double seconds);
    std::string printText(double seconds);

    std::mutex m_mutex;
    std::uint64_t m_requests = 0;
    std::uint64_t m_wrong = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_resumes = 0;
    std::uint64_t m_resends = 0;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::map<int, std::uint64_t> m_codes;
    std::vector<float> m_firstTokens; //!< Milliseconds; of application calls, to the answer.
    std::vector<float> m_gaps;
};

} // namespace sesame
