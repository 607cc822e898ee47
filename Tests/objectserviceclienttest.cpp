#include "Adapter/sesameadapter.h"
#include "support/freeport.h"

#include <criterion/criterion.h>

using namespace sesame;

// Guards against an entry of a list that cannot be read ending the reading of the others, and
// against one without a key being taken for an object.
Test(objectserviceclient, unreadableEntriesAreLeftOut)
{
    const Endpoint address {.host = "127.0.0.1", .port = freePort()};
    std::string body;
    const auto server = HttpServer::start({.address = address}, [&](const HttpRequest &) {
        return HttpResponse {.body = body};
    });
    cr_assert(server.has_value());
    const ObjectServiceClient client({.url = "http://127.0.0.1:" + std::to_string(address.port)});
    for (const std::string &odd :
         {std::string("null"), std::string("7"), std::string("{}"), std::string(R"({"key":""})"),
          std::string(R"({"key":7,"version":1})"), std::string(R"({"key":"a","key":"b"})"),
          std::string(R"({"key":"a","version":1e999})"), std::string(R"({"key":"\u0000"})"),
          std::string("{\"key\":\"\xff\"}"), std::string("{\"key\":\"a\nb\"}")}) {
        body = R"({"revision":7,"objects":[{"key":"nodes/1","version":3},)" + odd
                + R"(,{"key":"nodes/2 &+#%41","version":4}]})";
        const auto list = client.list("nodes/");
        cr_assert(list.has_value(), "%s", odd.c_str());
        cr_expect_eq(list->revision, 7U, "%s", odd.c_str());
        cr_assert_eq(list->objects.size(), 2U, "%s", odd.c_str());
        cr_expect_str_eq(list->objects.front().key.c_str(), "nodes/1");
        cr_expect_eq(list->objects.back().version, 4U, "%s", odd.c_str());
    }
}
