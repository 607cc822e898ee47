#include "Core/servingconfig.h"

#include <criterion/criterion.h>

using namespace sesame;

namespace {

ServingConfig makeConfig()
{
    ServingConfig config;
    config.version = 3;
    config.routes.push_back({.name = "outer", .host = "a.example", .pathPrefix = "/x/"});
    config.routes.push_back({.name = "inner", .host = "a.example", .pathPrefix = "/x/y/"});
    config.routes.push_back({.name = "other", .host = "b.example", .pathPrefix = "/x/"});
    config.accounts.push_back({.name = "one"});
    config.accounts.push_back({.name = "two"});
    config.accountByKey = {{"key-1", 0}, {"key-2", 1}, {"key-3", 1}};
    config.indexRoutes();
    return config;
}

} // namespace

// Guards against routing a request by a shorter prefix or by the routes of another host.
Test(servingconfig, longestPrefixOfTheHostDecides)
{
    const ServingConfig config = makeConfig();
    cr_assert_not_null(config.findRoute("a.example", "/x/y/z"));
    cr_expect_str_eq(config.findRoute("a.example", "/x/y/z")->name.c_str(), "inner");
    cr_expect_str_eq(config.findRoute("a.example", "/x/yz")->name.c_str(), "outer");
    cr_expect_str_eq(config.findRoute("b.example", "/x/y/")->name.c_str(), "other");
    cr_expect_null(config.findRoute("a.example", "/x"));
    cr_expect_null(config.findRoute("c.example", "/x/"));
}

// Guards against a key that is accepted for the wrong account.
Test(servingconfig, keysBelongToOneAccount)
{
    const ServingConfig config = makeConfig();
    cr_expect_str_eq(config.findAccount("key-1")->name.c_str(), "one");
    cr_expect_str_eq(config.findAccount("key-3")->name.c_str(), "two");
    cr_expect_null(config.findAccount("key"));
    cr_expect_null(config.findAccount(""));
}
