#include "foundation/events.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

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
    for (std::sregex_iterator match(content.begin(), content.end(), row), end; match != end; ++match) {
        events.insert((*match)[1].str() + " " + (*match)[2].str());
    }
    return events;
}

TEST(EventsTest, CatalogueListsExactlyTheDefinedEvents)
{
    std::set<std::string> definedEvents;
    for (const auto &entry : EVENT_NAMES) {
        definedEvents.insert(std::to_string(static_cast<int>(entry.value)) + " " + std::string(entry.name));
    }
    EXPECT_EQ(cataloguedEvents(), definedEvents);
}

TEST(EventsTest, FieldsWithInvalidUtf8AreLogged)
{
    EXPECT_NO_THROW(logEvent(Event::ObjectInvalid, {{"cause", "bytes \xff\xfe"}}));
}

// Threads of the control plane log while a stop ends; the logger was gone then, and the process crashed.
TEST(EventsTest, LoggingGoesOnAfterTheLogIsClosed)
{
    openLog(LogFormat::Json, "n1");
    logEvent(Event::Stopped, {{"node", "n1"}});
    closeLog();
    logEvent(Event::StoreUnreachable, {{"cause", "test"}});
}

} // namespace

} // namespace mustardpond
