#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

/// Runs every registered suite, or the one named on the command line.
int main(int argc, char **argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    const std::string path = argc > 1 ? argv[1] : "";
    try {
        runner.run(controller, path);
    } catch (const std::exception &exception) {
        std::cerr << "no such test: " << path << ": " << exception.what() << '\n';
        return 2;
    }
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    return collector.wasSuccessful() ? 0 : 1;
}
