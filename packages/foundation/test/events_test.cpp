#include "foundation/events.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace mustardpond {

namespace {

std::set<std::string> cataloguedEvents()
{
    std::ifstream file(EVENT_CATALOGUE);
    std::stringstream text;
    text << file.rdbuf();
    const std::string content = text.str();
    const std::regex row(R"(\| E(\d+) \| `([a-z-]+)` \|)");
    std::set<std::string> events;
    for (std::sregex_iterator found(content.begin(), content.end(), row), end; found != end; ++found) {
        events.insert((*found)[1].str() + " " + (*found)[2].str());
    }
    return events;
}

TEST(EventsTest, CatalogueAndCodeAgree)
{
    std::set<std::string> known;
    for (const auto &entry : EVENT_NAMES) {
        known.insert(std::to_string(static_cast<int>(entry.value)) + " " + std::string(entry.name));
    }
    EXPECT_EQ(cataloguedEvents(), known);
}

} // namespace

} // namespace mustardpond
