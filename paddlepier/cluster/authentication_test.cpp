// Authentication of callers, and visibility of jobs.

#include "paddlepier/cluster/authentication.h"

#include <catch2/catch.hpp>

namespace paddlepier::cluster
{

namespace
{

class AuthenticationFixture
{
public:
    AuthenticationFixture()
    {
        work::ChangeConfigurationT configuration;
        for (const char *name : {"red", "blue"}) {
            auto &team = configuration.teams.emplace_back(std::make_unique<work::TeamSpecT>());
            team->name = name;
            team->keys = {std::string("key-") + name};
        }
        this->teams.configure(configuration);
        this->open.isPublic = true;
    }

    static workload::Job jobOf(const std::string &team, const work::QueueSpecT &queue)
    {
        return {"a", queue, work::JobSpecT(), 0, team};
    }

    workload::Teams teams;
    work::QueueSpecT closed;
    work::QueueSpecT open;
};

} // namespace

TEST_CASE_METHOD(AuthenticationFixture, "authenticate_keysRequired_acceptsOnlyTeamKeys")
{
    CHECK(authenticate(this->teams, this->closed, "key-red", CallerKeys::Required) == "red");
    CHECK_FALSE(authenticate(this->teams, this->closed, "key-green", CallerKeys::Required));
    CHECK_FALSE(authenticate(this->teams, this->closed, "", CallerKeys::Required));
    CHECK_FALSE(authenticate(workload::Teams(), this->closed, "key-red", CallerKeys::Required));
}

TEST_CASE_METHOD(AuthenticationFixture, "authenticate_publicQueue_needsNoKey")
{
    CHECK(authenticate(this->teams, this->open, "", CallerKeys::Required) == "");
    CHECK(authenticate(this->teams, this->open, "key-green", CallerKeys::Required) == "");
    CHECK(authenticate(this->teams, this->open, "key-blue", CallerKeys::Required) == "blue");
}

TEST_CASE_METHOD(AuthenticationFixture, "authenticate_keysIgnored_servesCallerWithoutTeam")
{
    CHECK(authenticate(this->teams, this->closed, "key-red", CallerKeys::Ignored) == "");
    CHECK(authenticate(this->teams, this->closed, "", CallerKeys::Ignored) == "");
}

TEST_CASE_METHOD(AuthenticationFixture, "canView_jobOfTeam_onlyThatTeamUnlessQueueIsPublic")
{
    CHECK(canView(jobOf("red", this->closed), "red"));
    CHECK_FALSE(canView(jobOf("red", this->closed), "blue"));
    CHECK_FALSE(canView(jobOf("red", this->closed), ""));
    CHECK(canView(jobOf("red", this->open), ""));
    CHECK(canView(jobOf("", this->closed), "blue"));
}

} // namespace paddlepier::cluster
