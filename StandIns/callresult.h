#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

/*!
    What one request of the caller led to.
*/
struct CallResult
{
    std::string outcome = "broken"; //!< As the node reported it; "broken" if it never did.
    int code = 0;
    double firstTokenMillis = -1.0; //!< Negative if no token arrived.
    std::vector<float> gapMillis;
    std::uint64_t tokens = 0;
    unsigned resumes = 0; //!< Connections opened with a resume token.
    unsigned resends = 0; //!< Times the request was sent again.
    std::string answerError; //!< Why the answer is wrong; empty if it is right.
    std::string text;
};

} // namespace sesame
