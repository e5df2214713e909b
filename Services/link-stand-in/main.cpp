#include "LinkForwarder.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, IP:PORT; port 0 lets the kernel choose");
ABSL_FLAG(std::string, target, "", "address to carry connections to, IP:PORT");

using namespace Fuchsiastep;

static int fail(const Error &error)
{
    std::cerr << "link-stand-in: " << describe(error) << '\n';
    return 1;
}

/// Stands in for the network between a data centre and the platform. It ends by a signal; stopping or pausing
/// it cuts the data centre off.
int main(int argc, char **argv)
{
    normalizeFlagNames(argc, argv);
    absl::SetProgramUsageMessage("forwards TCP connections to one address");
    absl::ParseCommandLine(argc, argv);
    const Result<SocketAddress> target = SocketAddress::tryParse(absl::GetFlag(FLAGS_target));
    const Result<SocketAddress> address = SocketAddress::tryParse(absl::GetFlag(FLAGS_listen));
    if (isError(target) || isError(address)) {
        return fail({ErrorCode::CommandLineInvalid, "--listen and --target must be IP:PORT"});
    }
    LinkForwarder forwarder(valueOf(target));
    const Result<SocketAddress> used = forwarder.tryListen(valueOf(address));
    if (isError(used)) {
        return fail(errorOf(used));
    }
    std::cout << "listening link " << valueOf(used).toString() << std::endl;
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    return 0;
}
