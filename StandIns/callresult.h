#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

/*!
    Result of one request of the caller.
*/
struct CallResult
{
    std::string outcome = "broken"; //!< Outcome that the node reported, else "broken".
    int code = 0;
    double firstTokenMillis = -1.0; //!< Negative if no token arrived.
    std::vector<float> gapMillis;
    std::uint64_t tokens = 0;
    unsigned resumes = 0; //!< Number of connections opened with a resume token.
    unsigned resends = 0; //!< Number of times that the request was sent again.
    std::string answerError; //!< Reason why the answer is wrong, empty if it is correct.
    std::string text;
};

} // namespace sesame
