#include "Node/entrynode.h"

namespace sesame {

int runServe(const NodeSettings & /*settings*/)
{
    return 1;
}

} // namespace sesame
