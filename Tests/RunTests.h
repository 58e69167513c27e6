// Runs the tests of a test program.
#pragma once

namespace Goldcrestwall {

// Runs all registered CppUnit tests, or the one named in the only argument, and prints a final line with the numbers of passed and failed
// tests. Returns the exit status: 0 if all passed, 1 if one failed, 2 if the arguments name no test.
int runRegisteredTests(int argumentCount, char **arguments);

} // namespace Goldcrestwall
