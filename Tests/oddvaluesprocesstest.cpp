#include "support/brokenserver.h"
#include "support/testdeployment.h"

#include <criterion/criterion.h>

using namespace sesame;
using namespace sesame::test;

namespace {

/*!
    A node of the project's own interface whose only backend server of the service "orders" records
    what arrives.
*/
class RecordingDeployment
{
public:
    RecordingDeployment() : deployment({.nodes = 1, .engines = 1, .applications = 0})
    {
        server.setAnswer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                         RawEngine::End::Close);
        registerInstance("recording", server.url());
        for (int n = 0; n < 100 && call("/orders/stock/kapok").status != 200; ++n)
            sleepMillis(100);
        cr_assert_eq(call("/orders/stock/kapok").status, 200);
    }

    void registerInstance(const std::string &id, const std::string &address)
    {
        cr_assert_eq(callUrl("POST", deployment.cloudUrl() + "/control/instances",
                             R"({"instances":[)" + formatServiceInstance(id, address) + "]}")
                             .status,
                     200);
    }

    TestReply call(const std::string &path)
    {
        return callUrl("GET", deployment.nodes().front().callerUrl() + path, {}, callerHeaders());
    }

    BrokenServer server;
    TestDeployment deployment;
};

} // namespace

// Guards against a path whose encoded characters add header fields or requests of their own to the
// call of a backend server.
Test(oddvalues, pathsAreForwardedAsTheyWereSent)
{
    RecordingDeployment recording;
    for (const std::string path :
         {"/orders/stock/a%20b", "/orders/stock/a%0D%0AX-Forged:%201", "/orders/stock/a%3Fb=c%26d",
          "/orders/stock/a%2Fb", "/orders/stock/a%23b", "/orders/stock/a+b%25", "/orders/stock/a;b",
          "/orders/stock/a%20HTTP%2F1.1%0D%0A%0D%0AGET%20%2Forders%2Fstock%2Fb"}) {
        cr_expect_eq(recording.call(path).status, 200, "%s", path.c_str());
        const std::string request = recording.server.lastRequest();
        cr_expect(request.starts_with("GET " + path + " HTTP/1.1\r\n"), "%s", request.c_str());
        cr_expect_eq(request.find("\nX-Forged"), std::string::npos, "%s", request.c_str());
    }
}
