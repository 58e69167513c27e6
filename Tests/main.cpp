// Runs all registered CppUnit tests, or the one named in the first argument, and prints a final line with the numbers of passed and
// failed tests.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <glog/logging.h>

#include <iostream>

int main(int, char **arguments)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(arguments[0]);
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, arguments[1] ? arguments[1] : "");
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
