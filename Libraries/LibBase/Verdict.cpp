// Names of execution states.
#include <LibBase/Verdict.h>

namespace Goldcrestwall {

const char *executionName(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not-run";
    case Execution::MayHaveRun:
        return "may-have-run";
    case Execution::Ran:
        return "ran";
    }
    return "may-have-run";
}

} // namespace Goldcrestwall
