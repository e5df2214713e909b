#pragma once

#include <LibLab/LibLab.h>

#include <map>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Compares what callers were told of their orders with what the upstreams logged.
class OrderJudge
{
public:
    void record(const std::string &key, const HttpReply &reply)
    {
        m_replies[key].push_back(reply);
    }

    /// Keys of which at least one copy got no answer.
    std::vector<std::string> openKeys() const
    {
        std::vector<std::string> keys;
        for (const auto &[key, replies] : m_replies) {
            const auto isOpen = [](const HttpReply &reply) {
                return outcomeOf(reply) == "unknown";
            };
            if (std::any_of(replies.begin(), replies.end(), isOpen)) {
                keys.push_back(key);
            }
        }
        return keys;
    }

    std::size_t count(const std::string &outcome) const
    {
        std::size_t count = 0;
        for (const auto &[key, replies] : m_replies) {
            for (const HttpReply &reply : replies) {
                count += outcomeOf(reply) == outcome ? 1 : 0;
            }
        }
        return count;
    }

    /// Empty where every outcome is true. Two copies of a key may differ in outcome, so "not-run" is judged where
    /// it was told to every copy.
    std::vector<std::string> violations(const Fleet &fleet) const
    {
        std::map<std::string, std::uint64_t> runs;
        for (const std::size_t index : fleet.all()) {
            if (fleet.at(index).service) {
                countRuns(readRunLog(fleet.runLogOf(index)), runs);
            }
        }
        std::vector<std::string> found;
        for (const auto &[key, replies] : m_replies) {
            const std::uint64_t ran = runs[key];
            const auto isNotRun = [](const HttpReply &reply) {
                return outcomeOf(reply) == "not-run";
            };
            if (ran > 1) {
                found.push_back(key + " ran " + std::to_string(ran) + " times" + textOf(replies));
            }
            if (ran > 0 && std::all_of(replies.begin(), replies.end(), isNotRun)) {
                found.push_back(key + " ran and was told not-run" + textOf(replies));
            }
            checkAnswers(key, replies, ran, found);
        }
        return found;
    }

private:
    /// A proxy that is gone tells nothing, which leaves the outcome unknown.
    static std::string outcomeOf(const HttpReply &reply)
    {
        return reply.status == 0 ? "unknown" : reply.header("fuchsiastep-outcome");
    }

    static std::string textOf(const std::vector<HttpReply> &replies)
    {
        std::string text;
        for (const HttpReply &reply : replies) {
            text += "\n    " + std::to_string(reply.status) + ' ' + outcomeOf(reply) + ' ' + reply.body.substr(0, 200);
        }
        return text;
    }

    /// Every answer of a key is the answer to its one run.
    static void checkAnswers(
        const std::string &key, const std::vector<HttpReply> &replies, std::uint64_t ran, std::vector<std::string> &found)
    {
        std::string first;
        for (const HttpReply &reply : replies) {
            if (outcomeOf(reply) != "answered" || reply.status != 200) {
                continue;
            }
            first = first.empty() ? reply.body : first;
            const bool isOwn = reply.body.find('"' + key + '"') != std::string::npos;
            if (ran == 0 || !isOwn || reply.body != first) {
                found.push_back(key + " has a false answer" + textOf(replies));
            }
        }
    }

    std::map<std::string, std::vector<HttpReply>> m_replies;
};

} // namespace Fuchsiastep
