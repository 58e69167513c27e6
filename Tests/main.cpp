// The main program of the test programs.
#include "RunTests.h"

int main(int argumentCount, char **arguments)
{
    return Goldcrestwall::runRegisteredTests(argumentCount, arguments);
}
