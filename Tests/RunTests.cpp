// Runs registered CppUnit tests.
#include "RunTests.h"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <glog/logging.h>

#include <iostream>
#include <stdexcept>
#include <string>

namespace Goldcrestwall {

namespace {

constexpr int UsageError = 2;

} // namespace

int runRegisteredTests(int argumentCount, char **arguments)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(arguments[0]);
    if (argumentCount > 2) {
        std::cerr << arguments[0] << ": one argument at most, the name of a test\n";
        return UsageError;
    }
    const std::string name = argumentCount == 2 ? arguments[1] : "";
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    try {
        runner.run(controller, name);
    } catch (const std::invalid_argument &) {
        std::cerr << arguments[0] << ": no test is named \"" << name << "\"\n";
        return UsageError;
    }
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}

} // namespace Goldcrestwall
