#include "Node/nodeversion.h"

namespace sesame {

std::string_view nodeVersion()
{
    return "0.1.0";
}

} // namespace sesame
