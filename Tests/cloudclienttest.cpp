#include "Adapter/sesameadapter.h"
#include "support/freeport.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace sesame;

namespace {

//! Entries of a list that cannot be read, or that make the whole list unreadable to a JSON parser.
const std::vector<std::string> oddEntries {
        "null",
        "7",
        "[]",
        "{}",
        R"({"id":""})",
        R"({"id":"x","id":"y"})",
        R"({"id":"x","price_per_hour":1e999})",
        R"({"id":"\u0000"})",
        "{\"id\":\"\xff\"}",
        "{\"id\":\"x\ny\"}",
        R"({"id":"x","incarnation":123456789012345678901234567890})"};

// Cloud API that responds to every call with the same status and body and stores what the last
// request contained.
struct FakeCloudApi
{
    Endpoint address {.host = "127.0.0.1", .port = freePort()};
    int status = 200;
    std::string body;
    std::string lastBody;
    std::string lastId; //!< Parameter "id" of the last request's query.
    std::optional<HttpServer> server;
    CloudClient client;

    FakeCloudApi() : client("http://127.0.0.1:" + std::to_string(address.port))
    {
        server = HttpServer::start({.address = address}, [this](const HttpRequest &request) {
            lastBody = request.body;
            lastId = request.query("id").value_or("");
            HttpResponse response;
            response.status = status;
            response.body = body;
            return response;
        });
        cr_assert(server.has_value());
    }
};

} // namespace

// Guards against a list format that differs from the documented one.
Test(cloudclient, readsInstancesAndNotices)
{
    FakeCloudApi api;
    api.body = R"({"instances":[
        {"id":"e1","incarnation":3,"kind":"engine","class":"big","service":"",
         "address":"http://10.0.0.1:80","zone":"ghent","market":"on_demand",
         "price_per_hour":1.5,"state":"leaving"},
        {"id":"e2","incarnation":1,"kind":"engine","class":"big","service":"",
         "address":"","zone":"ghent","market":"on_demand","price_per_hour":1.5,"state":"running"},
        {"id":"e3","kind":"unheard of"}]})";
    const auto instances = api.client.fetchInstances();
    cr_assert(instances.has_value());
    cr_assert_eq(instances->size(), 1);
    const ListedInstance &it = instances->front();
    cr_expect(it.id == "e1" && it.incarnation == 3 && it.kind == InstanceKind::Engine);
    cr_expect(it.className == "big" && it.zone == "ghent" && it.market == Market::OnDemand);
    cr_expect(it.pricePerHour == 1.5 && it.leaving);
    api.body = R"({"sequence":9,"notices":[
        {"sequence":9,"instance":"e1","zone":"ghent","deadline_unix_ms":1234}]})";
    const auto batch = api.client.fetchNotices(8);
    cr_assert(batch.has_value());
    cr_expect_eq(batch->sequence, 9);
    cr_expect_eq(batch->notices.at(0).instance, "e1");
    cr_expect_eq(batch->notices.at(0).deadline, 1234);
}

// Guards against an invalid response that is treated as an empty list.
Test(cloudclient, invalidResponsesAreErrors)
{
    FakeCloudApi api;
    for (const char *body : {"", "not JSON", "{}", R"({"instances":7})"}) {
        api.body = body;
        cr_expect_not(api.client.fetchInstances().has_value());
    }
    api.status = 503;
    api.body = R"({"instances":[]})";
    cr_expect_not(api.client.fetchInstances().has_value());
}

// Guards against the start of a second instance after a lost response that was treated as a
// refusal.
Test(cloudclient, startDistinguishesRefusedFromUnknown)
{
    FakeCloudApi api;
    const StartRequest order {.clientToken = "t1", .className = "big", .zone = "ghent"};
    api.body = R"({"id":"i-1"})";
    cr_expect(api.client.start(order).status == StartStatus::Started);
    cr_expect_eq(jsonString(parseJson(api.lastBody).get(), "client_token"), "t1");
    cr_expect_eq(jsonString(parseJson(api.lastBody).get(), "market"), "reclaimable");
    api.status = 409;
    cr_expect(api.client.start(order).status == StartStatus::Refused);
    api.status = 500;
    cr_expect(api.client.start(order).status == StartStatus::AnswerLost);
    cr_expect_not(api.client.stop("i-1"));
    api.status = 404;
    cr_expect(api.client.stop("i-1"));
    api.server->stop();
    cr_expect(api.client.start(order).status == StartStatus::Unavailable);
}

// Guards against an instance that is not stopped, or another one that is, because of the characters
// of its id.
Test(cloudclient, idsAreEncoded)
{
    FakeCloudApi api;
    for (const std::string id :
         {"i&id=j", "i+j", "i#j", "i%41", "i j", "i/j", "i\r\nX: j", "i\x01"}) {
        cr_expect(api.client.stop(id), "%s", id.c_str());
        cr_expect_str_eq(api.lastId.c_str(), id.c_str());
    }
}

// Guards against an entry that cannot be read ending the reading of the others.
Test(cloudclient, unreadableEntriesAreLeftOut)
{
    FakeCloudApi api;
    const std::string sound = R"({"id":"e1","incarnation":3,"kind":"engine","class":"big",)"
                              R"("address":"http://10.0.0.1:80","zone":"ghent"})";
    const std::string last = R"({"id":"e2","incarnation":1,"kind":"engine","class":"big",)"
                             R"("address":"http://10.0.0.2:80","zone":"ghent"})";
    for (const std::string &odd : oddEntries) {
        api.body = R"({"instances":[)";
        api.body.append(sound).append(",").append(odd).append(",").append(last).append("]}");
        const auto instances = api.client.fetchInstances();
        cr_assert(instances.has_value(), "%s", odd.c_str());
        cr_assert_eq(instances->size(), 2U, "%s", odd.c_str());
        cr_expect(instances->front().id == "e1" && instances->back().id == "e2", "%s", odd.c_str());
        api.body = R"({"sequence":9,"notices":[{"sequence":8,"instance":"e1"},)" + odd
                + R"(,{"sequence":9,"instance":"e2"}]})";
        const auto batch = api.client.fetchNotices(7);
        cr_assert(batch.has_value(), "%s", odd.c_str());
        cr_expect_eq(batch->sequence, 9, "%s", odd.c_str());
        cr_expect_eq(std::count_if(batch->notices.begin(), batch->notices.end(),
                                   [](const ReclaimNotice &notice) {
                                       return notice.instance == "e1" || notice.instance == "e2";
                                   }),
                     2, "%s", odd.c_str());
    }
}
