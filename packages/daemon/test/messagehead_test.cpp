#include "messagehead.h"

#include <gtest/gtest.h>

namespace mustardpond {

namespace {

http::fields makeFields(std::initializer_list<std::pair<const char *, const char *>> fields)
{
    http::fields result;
    for (const auto &[name, value] : fields) {
        result.insert(name, value);
    }
    return result;
}

TEST(MessageHeadTest, AcceptsTheFramingsOfTheStandard)
{
    EXPECT_EQ(problemOfRequestHead(makeFields({{"Host", "a"}}), 11), "");
    EXPECT_EQ(problemOfRequestHead(makeFields({{"Host", "a"}, {"Content-Length", "3"}}), 11), "");
    EXPECT_EQ(problemOfRequestHead(makeFields({{"Host", "a"}, {"Transfer-Encoding", "Chunked"}}), 11), "");
    EXPECT_EQ(problemOfRequestHead({}, 10), "") << "HTTP/1.0 has no Host field";
}

// A request with an unknown transfer coding was forwarded without its body, which was then read as the next request.
TEST(MessageHeadTest, RejectsUnclearFraming)
{
    for (const char *coding : {"xchunked", "gzip", "gzip, chunked", "chunked, identity", ""}) {
        EXPECT_NE(problemOfRequestHead(makeFields({{"Host", "a"}, {"Transfer-Encoding", coding}}), 11), "") << coding;
    }
    EXPECT_NE(problemOfRequestHead(
                  makeFields({{"Host", "a"}, {"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}), 11),
              "");
    EXPECT_NE(problemOfRequestHead(makeFields({{"Transfer-Encoding", "chunked"}}), 10), "");
}

TEST(MessageHeadTest, RejectsAnUnclearHost)
{
    EXPECT_NE(problemOfRequestHead({}, 11), "");
    EXPECT_NE(problemOfRequestHead(makeFields({{"Host", "a"}, {"Host", "b"}}), 11), "");
}

} // namespace

} // namespace mustardpond
