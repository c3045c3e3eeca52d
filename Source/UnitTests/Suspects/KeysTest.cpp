#include "Suspects/Keys.h"

#include <gtest/gtest.h>

using namespace Suspects;

namespace {

const RequestText base { "10.0.0.1", "X-User=u", "GET", "h.example", "/a/b?q=1", "body" };

// Which of the keys are equal: request, content, pattern.
std::string sameAs(const RequestText& other)
{
    std::string same;
    for (Breadth breadth : allBreadths)
        same += keyOf(keysOf(base), breadth) == keyOf(keysOf(other), breadth) ? breadthName(breadth)[0] : '-';
    return same;
}

template <typename Change> std::string sameAfter(Change change)
{
    RequestText other = base;
    change(other);
    return sameAs(other);
}

} // namespace

TEST(Keys, EachPartOfARequestBelongsToItsKeys)
{
    EXPECT_EQ(sameAs(base), "rcp");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.address = "10.0.0.2"; }), "-c-");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.identity = "X-User=v"; }), "---");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.method = "HEAD"; }), "--p");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.host = "i.example"; }), "---");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.target = "/a/b?q=2"; }), "--p");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.target = "/a/b"; }), "--p");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.target = "/a/c?q=1"; }), "---");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.body = "other"; }), "---");
}

TEST(Keys, SpellingsOfTheSameHostAndPathAreEqual)
{
    EXPECT_EQ(sameAfter([](RequestText& text) { text.host = "H.Example"; }), "rcp");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.target = "/%61/b?q=1"; }), "rcp");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.target = "/a/%6?q=1"; }), "---");
    EXPECT_EQ(sameAfter([](RequestText& text) { text.target = "/a/b%"; }), "---");
}

TEST(Keys, PartsThatMoveBetweenFieldsGiveOtherKeys)
{
    EXPECT_EQ(sameAfter([](RequestText& text) {
        text.identity = "X-User=uG";
        text.method = "ET";
    }),
        "---");
    EXPECT_NE(keysOf(base).request, keysOf(base).content);
    EXPECT_NE(keysOf(base).content, keysOf(base).pattern);
}
